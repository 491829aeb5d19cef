package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the program under test.
var program string

// TestMain builds the program first, with the race detector if the tests have it.
func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "soak-program-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "cardamompoint")
	code := 1
	if err := build(program); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func build(path string) error {
	arguments := []string{"build", "-o", path}
	if raceDetector {
		arguments = append(arguments, "-race")
	}
	command := exec.Command("go", append(arguments, "cardamompoint.example/cardamompoint/cmd/cardamompoint")...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return command.Run()
}
