package gateway

import (
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/platform"
)

// oddEntries returns entries under IDs of their own that name no endpoint to use.
func (f *testFleet) oddEntries() map[string]string {
	sound := `{"service":"plain","address":"` + f.address(110, workerPort) + `","zone":"domain-a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"sequence":1}`
	deep := strings.Repeat(`{"a":`, 30_000) + "1" + strings.Repeat("}", 30_000)
	return map[string]string{
		"odd-bytes":      "\xff\xfe\x00",
		"odd-empty":      "",
		"odd-deep":       deep,
		"odd-deep-field": strings.Replace(sound, `"zone"`, `"more":`+deep+`,"zone"`, 1),
		"odd-large":      `"` + strings.Repeat("x", 1<<20-2) + `"`,
		"odd-number":     strings.Replace(sound, `"slots":8`, `"slots":1e400`, 1),
		"odd-slots":      strings.Replace(sound, `"slots":8`, `"slots":9223372036854775807`, 1),
		"odd-port":       strings.Replace(sound, f.address(110, workerPort), f.address(110, 99999), 1),
		"odd-name":       strings.Replace(sound, f.address(110, workerPort), "worker.example:80", 1),
		"odd\r\nX-Id: 1": sound,
		"odd/\xff\xfe":   sound,
	}
}

// TestOddEntriesLeaveTheOthersInUse guards against VMs that end or lose the list at what another writer left in it.
func TestOddEntriesLeaveTheOthersInUse(t *testing.T) {
	f := newTestFleet(t, 2)
	for id, value := range f.oddEntries() {
		f.store.Put(platform.EndpointPrefix+id, []byte(value))
	}
	f.store.Put(platform.EndpointPrefix+"plain-1", []byte(f.oddEntries()["odd-port"]))
	f.store.PutEndpoint("engine-2", "engines", f.address(101, workerPort), "draining")
	f.start(3)
	f.expectUsed("plain-2")
	for range 20 {
		f.expectServed()
	}
	f.store.PutEndpoint("plain-1", "plain", f.address(110, workerPort), "ready")
	f.expectUsed("plain-1", "plain-2")
}

// expectUsed waits until each VM has all changes of the store and checks the IDs of the plain service's ready endpoints.
func (f *testFleet) expectUsed(want ...string) {
	f.t.Helper()
	f.eventually("all VMs have the newest entries", func() bool {
		for _, g := range f.gateways {
			engine := g.tracker.Snapshot().Endpoints["engine-2"]
			if engine == nil || !engine.Draining || len(g.tracker.Snapshot().Ready["plain"]) != len(want) {
				return false
			}
		}
		return true
	})
	for i, g := range f.gateways {
		var ids []string
		for _, endpoint := range g.tracker.Snapshot().Ready["plain"] {
			ids = append(ids, endpoint.ID)
		}
		if strings.Join(ids, " ") != strings.Join(want, " ") {
			f.t.Errorf("VM %d uses %q, want %q", i+1, ids, want)
		}
	}
}
