// Command review2 plays the scripts of the second review: real gateways on loopback addresses, with stand-ins for the
// store, the workers and the clients.
package main

import (
	"fmt"
	"os"
)

// What the scripts exit with.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review2 CASE RECORD")
		os.Exit(couldNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		os.Exit(failed(err))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	code := couldNotRun
	switch os.Args[1] {
	case "order":
		code = runOrder(r, trouble)
	}
	r.close()
	os.Exit(code)
}

// failed reports why a case could not run.
func failed(err error) int {
	fmt.Println("could not run:", err)
	return couldNotRun
}
