package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cantRun    = 2
)

// errCantRun reports that a case could not run, so that it says nothing of the rule.
var errCantRun = errors.New("the case could not run")

// scenario is a case. It returns whether the rule was broken.
type scenario func(bench *bench) (broken bool, err error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"noworker": noWorker,
	"refused":  refusedAfterRun,
	"drain":    drainAfterCut,
	"recover":  recoverBesideCuts,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case that the first argument names. The second one is the path of the record.
func run(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Println("usage: stand CASE RECORD")
		return cantRun
	}
	b, err := newBench(arguments[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		b.close()
		os.Exit(cantRun)
	}()
	broken, err := scenarios[arguments[0]](b)
	code := b.conclude(broken, err)
	b.close()
	return code
}

// conclude writes the result and returns the exit code.
func (b *bench) conclude(broken bool, err error) int {
	switch {
	case err != nil:
		b.record.line("result: %v", err)
		return cantRun
	case broken:
		b.record.line("result: the rule was broken")
		return ruleBroken
	default:
		b.record.line("result: the rule held")
		return ruleHeld
	}
}
