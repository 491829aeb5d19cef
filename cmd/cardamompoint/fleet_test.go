package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/examples"
	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// fleetConfig selects and configures the processes of an example deployment.
type fleetConfig struct {
	// deployment is the name of a directory in examples.
	deployment string
	// routers, engines and workers bound the number of processes; 0 means all.
	routers, engines, workers int
	// engineFlags are added to the engines' command lines.
	engineFlags []string
	// workerFlags are added to the workers' command lines.
	workerFlags []string
	// relayEngines reports whether there is a relay in front of each engine.
	relayEngines bool
	// adjust changes the routers' settings before they start.
	adjust func(*settings.Router)
}

// testFleet is an example deployment as separate processes.
type testFleet struct {
	t      testing.TB
	dir    string
	net    string
	logDir string
	config fleetConfig

	processes map[string]*testProcess
	settings  []*settings.Router
	vms       []source.VM
	relays    []*relay
}

// startFleet starts a deployment on a loopback network of its own and waits until its routers
// are ready.
func startFleet(t testing.TB, config fleetConfig) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dir: t.TempDir(), config: config, processes: map[string]*testProcess{}}
	f.logDir = filepath.Join(f.dir, "logs")
	f.net = fleettest.ReserveNetwork(t)
	f.unpack()
	t.Cleanup(f.dumpLogs)
	f.startPlatform()
	f.startEndpoints()
	for i := range f.settings {
		f.startRouter(i + 1)
	}
	f.waitReady()
	return f
}

// unpack writes the deployment's files with the addresses of the test's network.
func (f *testFleet) unpack() {
	f.t.Helper()
	f.must(os.MkdirAll(f.logDir, 0o755))
	f.must(examples.Unpack(f.dir, f.config.deployment, f.net))
	f.limitVMs()
	f.loadSettings()
}

// limitVMs removes the VMs that the test does not start from the published list.
func (f *testFleet) limitVMs() {
	path := filepath.Join(f.dir, "published", "vms.json")
	raw, err := os.ReadFile(path)
	f.must(err)
	var all []source.VM
	f.must(json.Unmarshal(raw, &all))
	limits := map[source.Role]int{
		source.RoleRouter:  f.config.routers,
		source.RoleEngine:  f.config.engines,
		source.RoleService: f.config.workers,
	}
	counts := map[source.Role]int{}
	for _, vm := range all {
		counts[vm.Role]++
		if limits[vm.Role] == 0 || counts[vm.Role] <= limits[vm.Role] {
			f.vms = append(f.vms, vm)
		}
	}
	raw, err = json.Marshal(f.vms)
	f.must(err)
	f.must(os.WriteFile(path, raw, 0o644))
}

func (f *testFleet) loadSettings() {
	for i, vm := range f.vms {
		if vm.Role != source.RoleRouter {
			continue
		}
		loaded, err := settings.Load(f.settingsPath(i + 1))
		f.must(err)
		loaded.Seeds = slices.DeleteFunc(loaded.Seeds, func(seed string) bool { return !f.isPublished(seed) })
		if f.config.adjust != nil {
			f.config.adjust(loaded)
		}
		raw, err := json.Marshal(loaded)
		f.must(err)
		var fields map[string]any
		f.must(json.Unmarshal(raw, &fields))
		delete(fields, "Path")
		delete(fields, "Secret")
		raw, err = json.Marshal(fields)
		f.must(err)
		f.must(os.WriteFile(f.settingsPath(i+1), raw, 0o644))
		f.settings = append(f.settings, loaded)
	}
}

func (f *testFleet) isPublished(address string) bool {
	return slices.ContainsFunc(f.vms, func(vm source.VM) bool { return vm.Address == address })
}

func (f *testFleet) settingsPath(router int) string {
	return filepath.Join(f.dir, "settings", fmt.Sprintf("router-%d.json", router))
}

func (f *testFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) startEndpoints() {
	engines, workers := 0, 0
	for _, vm := range f.vms {
		switch vm.Role {
		case source.RoleEngine:
			engines++
			f.startEngine(engines)
		case source.RoleService:
			workers++
			f.startWorker(workers)
		}
	}
}

func (f *testFleet) engineAddress(n int) string { return fmt.Sprintf("%s.1.%d:7200", f.net, n) }
func (f *testFleet) workerAddress(n int) string { return fmt.Sprintf("%s.2.%d:7300", f.net, n) }

func (f *testFleet) startEngine(n int) {
	listen := f.engineAddress(n)
	if f.config.relayEngines {
		target := fmt.Sprintf("%s.1.%d:7201", f.net, n)
		f.relays = append(f.relays, startRelay(f.t, listen, target))
		listen = target
	}
	args := append([]string{"standin", "engine", "--listen", listen}, f.config.engineFlags...)
	f.start(fmt.Sprintf("engine-%d", n), args...)
}

func (f *testFleet) startWorker(n int) {
	args := append([]string{"standin", "service", "--listen", f.workerAddress(n)}, f.config.workerFlags...)
	f.start(fmt.Sprintf("worker-%d", n), args...)
}

func (f *testFleet) startRouter(n int) {
	f.start(fmt.Sprintf("router-%d", n), "router", "--settings", f.settingsPath(n))
}

// client returns a client of the n-th router, starting at 1.
func (f *testFleet) client(n int) *caller.Client {
	client := caller.New(f.settings[n-1].Callers)
	f.t.Cleanup(client.Close)
	return client
}

// status returns the status of the n-th router.
func (f *testFleet) status(n int) (*api.Status, error) {
	return fetchStatus(context.Background(), f.settings[n-1].Operators)
}

const (
	fleetTimeout    = 60 * time.Second
	fleetPollPeriod = 50 * time.Millisecond
)
