package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// gatewayVM is one VM. Its process may be restarted.
type gatewayVM struct {
	number  int
	command *exec.Cmd
	started time.Time
	// endFreeze ends the fault period of a stopped process, nil if the process runs.
	endFreeze func()
	boot      atomic.Int64
	// exitExpected reports whether the process is supposed to exit.
	exitExpected atomic.Bool
	exited       chan struct{}
}

func (s *soak) ip(i int) string {
	const perNumber = 200
	return fmt.Sprintf("%s.%d.%d", s.net, i/perNumber, i%perNumber+1)
}

func (s *soak) settingsPath(g *gatewayVM) string {
	return filepath.Join(s.dir, fmt.Sprintf("settings-%d.toml", g.number))
}

// start starts a VM's process. Only the first process of a VM has bootstrap set.
func (s *soak) start(g *gatewayVM) {
	seeds := []string{s.ip(0) + ":7003", s.ip(1) + ":7003"}
	text := hosted.Settings(s.ip(g.number), [4]int{7001, 7002, 7003, 7010}, s.net+".250.1:7100", seeds)
	if g.boot.Load() > 0 {
		text = strings.Replace(text, "bootstrap = true", "bootstrap = false", 1)
	}
	path := s.settingsPath(g)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("gateway-%d.log", g.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		s.t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(s.program, "gateway")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	g.command = command
	g.boot.Add(1)
	g.exitExpected.Store(false)
	g.started, g.exited = time.Now(), make(chan struct{})
	go s.awaitExit(g, g.command, g.exited)
}

// awaitExit waits until a process exits. It fails the test if that was not expected.
func (s *soak) awaitExit(g *gatewayVM, command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	if !g.exitExpected.Load() {
		s.t.Errorf("VM %d: the process exited unexpectedly: %v", g.number, err)
	}
	close(ended)
}

// stop sends a signal to a process count times and waits until it exits.
func (s *soak) stop(g *gatewayVM, signal syscall.Signal, count int) {
	g.exitExpected.Store(true)
	s.resume(g)
	for range count {
		_ = g.command.Process.Signal(signal)
	}
	<-g.exited
}

// resume lets a stopped process run again.
func (s *soak) resume(g *gatewayVM) {
	_ = g.command.Process.Signal(syscall.SIGCONT)
	if g.endFreeze != nil {
		g.endFreeze()
		g.endFreeze = nil
	}
}

// stopAll kills the processes of all VMs that have started.
func (s *soak) stopAll() {
	for _, g := range s.gateways {
		if g.command != nil {
			s.stop(g, syscall.SIGKILL, 1)
		}
	}
}

func (s *soak) allReady() bool {
	for i := range s.gateways {
		response, err := http.Get("http://" + s.ip(i) + ":7002" + platform.ReadinessPath)
		if err != nil {
			return false
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
