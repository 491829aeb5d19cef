package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// testProcess is a process of a fleet.
type testProcess struct {
	command *exec.Cmd
	// wait waits until the process has exited.
	wait func() error
}

// start starts a process of this program. Its output goes to a file in f.logDir.
func (f *testFleet) start(name string, args ...string) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	f.must(err)
	defer log.Close()
	command := exec.Command("cardamompoint", args...)
	command.Stdout, command.Stderr = log, log
	f.processes[name] = &testProcess{command: command, wait: fleettest.StartProcess(f.t, command)}
}

// signal sends a signal to a process. A process that is stopped does nothing more afterwards.
func (f *testFleet) signal(name string, signal syscall.Signal) {
	f.t.Helper()
	if signal == syscall.SIGSTOP {
		fleettest.StopProcess(f.t, f.processes[name].command.Process)
		return
	}
	f.must(f.processes[name].command.Process.Signal(signal))
}

// kill kills a process and waits until it has exited.
func (f *testFleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	f.wait(name)
}

// wait waits until a process exits and returns its exit code.
func (f *testFleet) wait(name string) int {
	process := f.processes[name]
	delete(f.processes, name)
	_ = process.wait() // The exit code tells the same.
	return process.command.ProcessState.ExitCode()
}

// dumpLogs prints the end of each router's log if the test has failed.
func (f *testFleet) dumpLogs() {
	const tail = 1500
	if !f.t.Failed() {
		return
	}
	files, _ := filepath.Glob(filepath.Join(f.logDir, "router-*.log"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		f.t.Logf("%s:\n%s", filepath.Base(file), raw[max(0, len(raw)-tail):])
	}
}
