// Command stand3 runs the scripted cases of the third independent review: it starts gateways as separate processes and
// plays their store, workers and clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case, as issue 64 asks for them.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	requiredArg = 4
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*record, string, bool) (bool, error){
	"silent-channels": silentChannels,
	"cut-watches":     cutWatches,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != requiredArg || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE GATEWAY-PROGRAM RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](r, os.Args[2], os.Getenv("TROUBLE") != "0")
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
