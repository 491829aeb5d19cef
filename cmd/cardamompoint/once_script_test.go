package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/caller"
)

// scriptFleetOnce starts the fleet of startDepositFleet: fleet-once [WORKER-FLAG...].
func scriptFleetOnce(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	s.fleet = startDepositFleet(s.t, shortSuspectMS, args...)
}

// scriptCallerKey generates a caller key with a timestamp AGE ago and stores it by name:
// caller-key NAME AGE.
func scriptCallerKey(ts *testscript.TestScript, _ bool, args []string) {
	age, err := time.ParseDuration(args[1])
	ts.Check(err)
	key, err := uuid.NewV7()
	ts.Check(err)
	issued := time.Now().Add(-age).UnixMilli()
	for i := range 6 {
		key[i] = byte(issued >> (8 * (5 - i)))
	}
	sessionOf(ts).tickets[args[0]] = key.String()
}

// scriptOutcome requests the outcome of work: outcome ROUTER WORKSPACE TICKET-OR-KEY.
func scriptOutcome(ts *testscript.TestScript, _ bool, args []string) {
	printOutcome(ts, args, (*caller.Client).Outcome)
}

// scriptRevoke revokes work: revoke ROUTER WORKSPACE TICKET-OR-KEY.
func scriptRevoke(ts *testscript.TestScript, _ bool, args []string) {
	printOutcome(ts, args, (*caller.Client).Revoke)
}

func printOutcome(ts *testscript.TestScript, args []string, ask func(*caller.Client, context.Context, string, string) (json.RawMessage, error)) {
	s := sessionOf(ts)
	router, err := strconv.Atoi(args[0])
	ts.Check(err)
	answer, err := ask(s.fleet.client(router), context.Background(), args[1], s.tickets[args[2]])
	if err != nil {
		coded := code.Of(err)
		fmt.Fprintf(ts.Stdout(), "%d %s, %s\n", coded.Code, coded.Name, coded.Run)
		return
	}
	fmt.Fprintln(ts.Stdout(), string(answer))
}
