package stand

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
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

// TestMain plays a case if the arguments are its name and the path of its record. Otherwise, as in go
// test, it plays none.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && scenarios[os.Args[1]] != nil {
		os.Exit(run(os.Args[1], os.Args[2]))
	}
	os.Exit(m.Run())
}

// run plays a case and returns the exit code.
func run(name, recordPath string) int {
	b, err := newBench(recordPath, os.Getenv("TROUBLE") != "0")
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
	broken, err := scenarios[name](b)
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
