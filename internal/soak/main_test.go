package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// programFolder is where the program under test is built.
var programFolder string

// TestMain removes the program afterwards.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "soak-program-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programFolder = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// buildProgram builds the program once, with the race detector if the tests have it, and
// returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(programFolder, "cardamompoint")
	arguments := []string{"build", "-o", path}
	if raceDetector {
		arguments = append(arguments, "-race")
	}
	command := exec.Command("go", append(arguments, "cardamompoint.example/cardamompoint/cmd/cardamompoint")...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return path, command.Run()
})
