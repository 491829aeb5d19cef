// Command losses reads logs of gateways from standard input and counts the requests that were
// not served, by the result, the last fault and the second in which they ended.
package main

import (
	"fmt"
	"os"
)

func main() {
	losses, err := readLosses(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
	writeLosses(os.Stdout, losses)
}
