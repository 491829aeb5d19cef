package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/examples"
	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
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

// testProcess is a process of a fleet.
type testProcess struct {
	command *exec.Cmd
	// wait waits until the process has exited.
	wait func() error
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

func (f *testFleet) startPlatform() {
	f.start("platform", "standin", "platform", "--listen", f.platformAddress(), "--published", filepath.Join(f.dir, "published"))
}

func (f *testFleet) platformAddress() string {
	return f.net + ".9.1:7100"
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

// eventually waits until done returns true. It fails the test at a timeout.
func (f *testFleet) eventually(what string, done func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(fleetTimeout)
	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(fleetPollPeriod)
	}
}

// waitReady waits until every router is ready and has heard from all others, and every
// endpoint listens.
func (f *testFleet) waitReady() {
	f.t.Helper()
	f.eventually("all routers are ready", func() bool {
		for n := range f.settings {
			if !f.ready(n + 1) {
				return false
			}
		}
		return true
	})
	for n := 1; n <= f.count(source.RoleEngine); n++ {
		f.waitListening(f.engineAddress(n))
	}
	for n := 1; n <= f.count(source.RoleService); n++ {
		f.waitListening(f.workerAddress(n))
	}
}

func (f *testFleet) count(role source.Role) int {
	count := 0
	for _, vm := range f.vms {
		if vm.Role == role {
			count++
		}
	}
	return count
}

func (f *testFleet) waitListening(address string) {
	f.t.Helper()
	f.eventually(address+" listens", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

// ready reports whether the n-th router is ready and has heard from all others.
func (f *testFleet) ready(n int) bool {
	status, err := f.status(n)
	if err != nil || !status.Ready {
		return false
	}
	alive := 0
	for _, peer := range status.Peers {
		if peer.Health == "alive" && peer.HeardMS >= 0 {
			alive++
		}
	}
	return alive == len(f.settings)-1
}

// publish writes a document to the emulated platform and returns its version.
func (f *testFleet) publish(key, document string) (int64, error) {
	var answer struct {
		Version int64 `json:"version"`
	}
	err := f.put("/operator/v1/values/"+key, document, &answer)
	return answer.Version, err
}

// put sends a PUT request with a JSON body to the emulated platform.
func (f *testFleet) put(path, body string, out any) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platformAddress()+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	return jsonhttp.Do(http.DefaultClient, request, out)
}

// get decodes the JSON response of an emulated endpoint.
func (f *testFleet) get(address, path string, out any) {
	f.t.Helper()
	f.must(jsonhttp.Get(context.Background(), http.DefaultClient, "http://"+address+path, out))
}
