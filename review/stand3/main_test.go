package stand3

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, program string, trouble bool) (bool, error){
	"silent-channels":   silentChannels,
	"cut-watches":       cutWatches,
	"slow-lookups":      slowLookups,
	"slow-engine-order": slowEngineOrder,
	"slow-engine-twice": slowEngineTwice,
}

// TestMain plays the case that the arguments name: a case, the gateway program and the path of its record. go test names
// none.
func TestMain(m *testing.M) {
	const caseArguments = 4
	if len(os.Args) != caseArguments || cases[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func playCase(play func(*record, string, bool) (bool, error), program, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	broken, err := play(r, program, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.write("case", "did not run", "reason", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
