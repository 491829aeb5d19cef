package fleettest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// StopProcess sends SIGSTOP to a process and waits until all its threads have stopped: on a busy
// machine they run on for a while after the signal was sent. On systems without a table of
// threads it does not wait.
func StopProcess(t testing.TB, process *os.Process) {
	t.Helper()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if !Eventually(func() bool { return hasStopped(process.Pid) }) {
		t.Fatalf("the process %d does not stop", process.Pid)
	}
}

// hasStopped reports whether no thread of a process runs or can be woken up by anything but a
// signal.
func hasStopped(pid int) bool {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue // The thread has ended.
		}
		// The state follows the name of the program, which is in parentheses.
		state := bytes.TrimSpace(raw[bytes.LastIndexByte(raw, ')')+1:])
		if !bytes.HasPrefix(state, []byte("T")) {
			return false
		}
	}
	return true
}
