package balance

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and fixed numbers of checks and steps for the random
// tests, unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "4", "rapid.checks": "1000", "rapid.steps": "60"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
