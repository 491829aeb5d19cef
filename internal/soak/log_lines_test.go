package soak

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestEachKindOfLineIsWritten causes, one after the other, every change that gateways log for
// operators, and waits for its line.
func TestEachKindOfLineIsWritten(t *testing.T) {
	s := newSoak(t, 1)
	last := s.gateways[len(s.gateways)-1]
	worker := s.slots[1].worker.Load()
	for _, step := range []struct {
		action func()
		line   string
	}{
		{func() {}, "gateway: started"},
		{func() {}, "config: configuration applied"},
		{func() {}, "config: endpoint"},
		{func() {}, "member: peer is alive"},
		{func() { s.askUntil("a lookup is served", 0, "/lookup/1", hosted.Key, http.StatusOK) }, "route: served"},
		{func() { s.askUntil("an unknown key is refused", 0, "/lookup/1", "nobody", http.StatusUnauthorized) }, "route: not served"},
		{func() { s.changeSettings(last) }, "gateway: settings were reloaded"},
		{func() { s.store.SetFault(hosted.FaultReset) }, "config: store is unavailable"},
		{func() { s.store.SetFault(hosted.FaultNone) }, "config: store is available again"},
		{func() { s.setBehavior("plain", hosted.Hang) }, "endpoint: does not answer"},
		{func() { s.setBehavior("plain", hosted.Serve) }, "endpoint: answers again"},
		{func() { s.setBehavior("plain", hosted.Fail) }, "endpoint: fails most requests"},
		{func() { s.setBehavior("plain", hosted.Serve) }, "endpoint: serves most requests again"},
		{func() { s.store.DeleteEndpoint(worker.ID) }, "config: endpoint removed"},
		{func() { s.stop(last, syscall.SIGTERM, 1) }, "gateway: stopping"},
		{func() {}, "gateway: stopped"},
		{func() {}, "member: peer is lost"},
	} {
		step.action()
		s.awaitLine(step.line)
	}
}

// changeSettings changes the settings file of a VM and sends SIGHUP to its process.
func (s *soak) changeSettings(g *gatewayVM) {
	path := s.settingsPath(g)
	raw, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(path, append(raw, "# changed\n"...), 0o644); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(processStartTime)
	_ = g.command.Process.Signal(syscall.SIGHUP)
}

// setBehavior sets the default behavior of all workers of a service.
func (s *soak) setBehavior(service string, behavior hosted.Behavior) {
	for _, slot := range s.slots {
		if slot.service == service {
			slot.worker.Load().SetDefault(behavior)
		}
	}
}

// awaitLine sends lookups until a log has the line.
func (s *soak) awaitLine(line string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	number := 0
	s.eventually("the line '"+line+"' is logged", func() bool {
		number++
		s.ask(client, callRecord{id: s.newID(), path: "/lookup/1", key: hosted.Key, gateway: number % 2}, 0)
		return s.hasLine(line)
	})
}

func (s *soak) hasLine(line string) bool {
	paths, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	if err != nil {
		s.t.Fatal(err)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(raw), `"`+line+`"`) {
			return true
		}
	}
	return false
}
