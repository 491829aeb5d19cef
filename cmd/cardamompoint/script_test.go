package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/api"
)

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[sessionKey{}] = &session{t: env.T().(testing.TB), pending: map[string]*pendingAnswer{}, tickets: map[string]string{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":      scriptFleet,
			"ask":        scriptAsk,
			"asking":     scriptAsking,
			"answered":   scriptAnswered,
			"ticket":     scriptTicket,
			"call":       scriptCall,
			"publish":    scriptPublish,
			"in-force":   scriptInForce,
			"signal":     scriptSignal,
			"exited":     scriptExited,
			"run-count":  scriptRunCount,
			"request":    scriptRequest,
			"fleet-once": scriptFleetOnce,
			"caller-key": scriptCallerKey,
			"outcome":    scriptOutcome,
			"revoke":     scriptRevoke,
		},
	})
}

type sessionKey struct{}

// session is the state that the commands of a script share.
type session struct {
	t     testing.TB
	fleet *testFleet

	pending map[string]*pendingAnswer
	tickets map[string]string
	// lastPublished is the version of the last published document.
	lastPublished int64
}

// pendingAnswer is a request in the background. text is valid once done is closed.
type pendingAnswer struct {
	done chan struct{}
	text string
}

func sessionOf(ts *testscript.TestScript) *session {
	return ts.Value(sessionKey{}).(*session)
}

// scriptFleet starts a deployment: fleet DEPLOYMENT [ENGINE-FLAG...].
func scriptFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	s.fleet = startFleet(s.t, fleetConfig{deployment: args[0], engineFlags: args[1:]})
	ts.Setenv("NET", s.fleet.net)
	ts.Setenv("FLEET", s.fleet.dir)
}

// scriptAsk sends a chat and prints how it ended: ask ROUTER WORKSPACE CHAT TOKENS MESSAGE.
func scriptAsk(ts *testscript.TestScript, _ bool, args []string) {
	fmt.Fprintln(ts.Stdout(), sessionOf(ts).ask(ts, args))
}

func (s *session) ask(ts *testscript.TestScript, args []string) string {
	router, err := strconv.Atoi(args[0])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[3])
	ts.Check(err)
	completion := api.CompletionRequest{
		Workspace: args[1],
		Chat:      args[2],
		MaxTokens: tokens,
		Messages:  []api.Message{{Role: "user", Content: strings.Join(args[4:], " ")}},
	}
	answer, err := s.fleet.client(router).Ask(context.Background(), completion)
	return describe(completion, answer, err)
}

// describe returns how an answer ended, without anything that differs between runs.
func describe(completion api.CompletionRequest, answer *caller.Answer, err error) string {
	if err != nil {
		coded := code.Of(err)
		return fmt.Sprintf("%d %s, %s", coded.Code, coded.Name, coded.Run)
	}
	want := standin.Tokens(completion.Workspace, completion.Chat, completion.Prompt(), completion.MaxTokens)
	if !slices.Equal(want, answer.Tokens) {
		return "not its own answer"
	}
	return fmt.Sprintf("whole answer of %d tokens, reused %d of %d prompt tokens",
		len(answer.Tokens), answer.Finished.Usage.ReusedTokens, answer.Finished.Usage.PromptTokens)
}

// scriptAsking sends a chat in the background:
// asking NAME ROUTER WORKSPACE CHAT TOKENS MESSAGE.
func scriptAsking(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	a := &pendingAnswer{done: make(chan struct{})}
	s.pending[args[0]] = a
	go func() {
		defer close(a.done)
		a.text = s.ask(ts, args[1:])
	}()
}

// scriptAnswered waits for a chat in the background and prints how it ended: answered NAME.
func scriptAnswered(ts *testscript.TestScript, _ bool, args []string) {
	a := sessionOf(ts).pending[args[0]]
	<-a.done
	fmt.Fprintln(ts.Stdout(), a.text)
}

// scriptTicket requests a ticket and stores it by name: ticket NAME ROUTER WORKSPACE.
func scriptTicket(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	router, err := strconv.Atoi(args[1])
	ts.Check(err)
	s.tickets[args[0]], err = s.fleet.client(router).Ticket(context.Background(), args[2])
	ts.Check(err)
}

// scriptCall calls a plain service: call ROUTER WORKSPACE METHOD PATH TICKET-OR-KEY [BODY].
func scriptCall(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	router, err := strconv.Atoi(args[0])
	ts.Check(err)
	key := args[4]
	if ticket, ok := s.tickets[key]; ok {
		key = ticket
	}
	body := strings.Join(args[5:], " ")
	answer, err := s.fleet.client(router).Call(context.Background(), args[1], args[2], args[3], strings.TrimPrefix(key, "-"), body)
	if err != nil {
		coded := code.Of(err)
		fmt.Fprintf(ts.Stdout(), "%d %s, %s\n", coded.Code, coded.Name, coded.Run)
		return
	}
	fmt.Fprintln(ts.Stdout(), string(answer))
}

// scriptPublish publishes a document: publish KEY JSON.
func scriptPublish(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	version, err := s.fleet.publish(args[0], args[1])
	ts.Check(err)
	s.lastPublished = version
}

// scriptInForce waits until all routers apply the parameters that were published last and
// all documents before them: in-force WORKSPACE.
func scriptInForce(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	s.fleet.eventually("the parameters are in force", func() bool {
		for n := range s.fleet.settings {
			status, err := s.fleet.status(n + 1)
			if err != nil || status.Revision < s.lastPublished || !hasParameters(status, args[0], s.lastPublished) {
				return false
			}
		}
		return true
	})
	fmt.Fprintf(ts.Stdout(), "in force on %d routers\n", len(s.fleet.settings))
}

func hasParameters(status *api.Status, workspace string, version int64) bool {
	return slices.ContainsFunc(status.Workspaces, func(w api.WorkspaceStatus) bool {
		return w.Workspace == workspace && w.ParameterVersion == version
	})
}

// scriptSignal sends a signal to a process: signal NAME TERM|KILL|STOP|CONT.
func scriptSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	sessionOf(ts).fleet.signal(args[0], signals[args[1]])
}

// scriptExited waits until a process exits and prints its exit code: exited NAME.
func scriptExited(ts *testscript.TestScript, _ bool, args []string) {
	fmt.Fprintf(ts.Stdout(), "%s exited with %d\n", args[0], sessionOf(ts).fleet.wait(args[0]))
}

// scriptRunCount prints how often the workers ran a body: run-count BODY.
func scriptRunCount(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	total := 0
	for n := 1; n <= 3; n++ {
		var runs standin.ServiceRuns
		s.fleet.get(s.fleet.workerAddress(n), "/test/runs", &runs)
		total += runs.Bodies[strconv.Quote(strings.Join(args, " "))]
	}
	fmt.Fprintf(ts.Stdout(), "run %d times\n", total)
}
