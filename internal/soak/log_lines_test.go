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

// TestEachKindOfLineIsWritten brings about every change that operators are told
// of, one after the other, and waits for its line.
func TestEachKindOfLineIsWritten(t *testing.T) {
	s := newSoak(t, 1)
	last := s.gateways[len(s.gateways)-1]
	worker := s.slots[1].worker.Load()
	for _, step := range []struct {
		act  func()
		line string
	}{
		{func() {}, "gateway: started"},
		{func() {}, "config: configuration applied"},
		{func() {}, "config: endpoint"},
		{func() {}, "member: peer is alive"},
		{func() { s.askNew("a lookup is served", 0, "/lookup/1", hosted.Key, http.StatusOK) }, "route: served"},
		{func() { s.askNew("an unknown key is refused", 0, "/lookup/1", "nobody", http.StatusUnauthorized) }, "route: not served"},
		{func() { s.changeSettings(last) }, "gateway: settings were reloaded"},
		{func() { s.store.SetFault(hosted.FaultReset) }, "config: store is unavailable"},
		{func() { s.store.SetFault(hosted.FaultNone) }, "config: store is available again"},
		{func() { s.always("plain", hosted.Hang) }, "endpoint: does not answer"},
		{func() { s.always("plain", hosted.Serve) }, "endpoint: answers again"},
		{func() { s.always("plain", hosted.Fail) }, "endpoint: fails most requests"},
		{func() { s.always("plain", hosted.Serve) }, "endpoint: serves most requests again"},
		{func() { s.store.DeleteEndpoint(worker.ID) }, "config: endpoint removed"},
		{func() { s.end(last, syscall.SIGTERM, 1) }, "gateway: stopping"},
		{func() {}, "gateway: stopped"},
		{func() {}, "member: peer is lost"},
	} {
		step.act()
		s.awaitLine(step.line)
	}
}

// changeSettings changes the file of a VM and tells its process.
func (s *soak) changeSettings(g *soakGateway) {
	path := s.settingsPath(g)
	raw, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(path, append(raw, "# changed\n"...), 0o644); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(soakStart)
	_ = g.command.Process.Signal(syscall.SIGHUP)
}

// always sets what all workers of a service do.
func (s *soak) always(service string, behaviour hosted.Behavior) {
	for _, slot := range s.slots {
		if slot.service == service {
			slot.worker.Load().SetDefault(behaviour)
		}
	}
}

// awaitLine asks lookups until a log has the line.
func (s *soak) awaitLine(line string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: soakTimeout}
	number := 0
	s.eventually("the line '"+line+"' is written", func() bool {
		number++
		s.ask(client, soakCall{id: s.newID(), path: "/lookup/1", key: hosted.Key, gateway: number % 2}, 0)
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
