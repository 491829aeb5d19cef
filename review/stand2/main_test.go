package stand2

import (
	"fmt"
	"os"
	"testing"
)

// What the scripts exit with.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// TestMain plays the case that the arguments name, a case and the path of its record. go test names none.
func TestMain(m *testing.M) {
	if len(os.Args) != 3 || os.Args[1] != "order" {
		os.Exit(m.Run())
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		os.Exit(failed(err))
	}
	code := runOrder(r, os.Getenv("TROUBLE") != "0")
	r.close()
	os.Exit(code)
}

// failed reports why a case could not run.
func failed(err error) int {
	fmt.Println("could not run:", err)
	return couldNotRun
}
