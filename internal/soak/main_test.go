package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// programDir is the directory that the program under test is built in.
var programDir string

// TestMain removes programDir after the tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak-program-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// buildProgram builds the program at its first call, with the race detector if the tests
// have it, and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(programDir, "cardamompoint")
	args := []string{"build", "-o", path}
	if raceDetector {
		args = append(args, "-race")
	}
	command := exec.Command("go", append(args, "cardamompoint.example/cardamompoint/cmd/cardamompoint")...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return path, command.Run()
})
