package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// soak is a fleet of gateway processes under faults, with an emulated store and workers.
type soak struct {
	t     *testing.T
	net   string
	dir   string
	store *hosted.Store
	// program is the path of the program under test.
	program string

	random   *rand.Rand
	gateways []*gatewayVM
	slots    []*workerSlot
	// proxies are the links to the store and to each worker; storeLink is the first.
	proxies   []*faultProxy
	injected  []string
	startedAt time.Time

	// record has the fault periods. endStoreFault ends that of the store, endLinkFault
	// those of links by their index.
	record        *faultRecord
	endStoreFault func()
	endLinkFault  map[int]func()

	// storeCopy is the copy from which the store comes back next, restores are the losses in
	// progress, lossCount is the number of losses so far.
	storeCopy hosted.StoreCopy
	restores  sync.WaitGroup
	lossCount int

	mu      sync.Mutex
	history callHistory
	// version is the last published version, keys are its keys.
	version int64
	keys    []string
}

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

// workerSlot is one address at which workers serve, one after the other.
type workerSlot struct {
	service string
	public  string
	worker  atomic.Pointer[hosted.Worker]
	// announcesLeaving reports whether the current worker announces that it leaves.
	announcesLeaving bool
	// all are the workers that served there, in order.
	all   []*hosted.Worker
	proxy *faultProxy
}

// ServeHTTP serves a request with the current worker.
func (s *workerSlot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.worker.Load().ServeHTTP(w, r)
}

func newSoak(t *testing.T, seed uint64) *soak {
	program, err := buildProgram()
	if err != nil {
		t.Fatalf("building the program failed: %v", err)
	}
	s := &soak{
		t:            t,
		net:          fleettest.ReserveNetwork(t),
		dir:          logDir(t, seed),
		store:        hosted.NewStore(),
		program:      program,
		random:       rand.New(rand.NewPCG(seed, 77)),
		startedAt:    time.Now(),
		record:       &faultRecord{published: map[string]time.Time{}, rewritten: map[string]time.Time{}},
		endLinkFault: map[int]func(){},
	}
	s.history = callHistory{revoked: map[string]time.Time{}, removed: map[string]time.Time{}, record: s.record}
	s.serve(s.net+".250.2:7100", s.store)
	s.addProxy(s.net+".250.1:7100", s.net+".250.2:7100")
	s.publishVersion()
	for number := range *soakWorkers {
		s.addSlot("engines", number)
		s.addSlot("plain", number)
	}
	t.Cleanup(s.stopAll)
	for i := range *soakGateways {
		s.gateways = append(s.gateways, &gatewayVM{number: i})
		s.start(s.gateways[i])
	}
	s.eventually("all gateways are ready", s.allReady)
	return s
}

// serve serves a handler at an address until the test ends.
func (s *soak) serve(address string, handler http.Handler) {
	s.t.Helper()
	fleettest.Serve(s.t, address, handler)
}

// eventually waits until a condition holds. It fails the test at a timeout.
func (s *soak) eventually(what string, condition func() bool) {
	s.t.Helper()
	if !fleettest.Eventually(condition) {
		s.t.Fatalf("timed out waiting until %s; the logs are in %s", what, s.dir)
	}
}

// logDir returns a new directory, which is kept if the test fails.
func logDir(t *testing.T, seed uint64) string {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
			return
		}
		t.Logf("the logs are kept in %s", dir)
	})
	return dir
}

func (s *soak) addProxy(address, target string) *faultProxy {
	proxy, err := newFaultProxy(address, target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.proxies = append(s.proxies, proxy)
	s.t.Cleanup(proxy.close)
	return proxy
}

func (s *soak) addSlot(service string, number int) {
	host := number + 1
	if service == "plain" {
		host += 120
	}
	slot := &workerSlot{service: service, public: fmt.Sprintf("%s.251.%d:7200", s.net, host)}
	s.slots = append(s.slots, slot)
	s.startWorker(slot)
	direct := fmt.Sprintf("%s.252.%d:7200", s.net, host)
	s.serve(direct, slot)
	slot.proxy = s.addProxy(slot.public, direct)
}

// startWorker replaces the worker of a slot by a new one and publishes it.
func (s *soak) startWorker(slot *workerSlot) {
	worker := hosted.NewWorker(fmt.Sprintf("%s-%s-%d", slot.service, slot.public, len(slot.all)))
	worker.Events = streamEvents
	worker.RetryAfter = fmt.Sprint(retryAfter.Seconds())
	slot.announcesLeaving = false
	slot.all = append(slot.all, worker)
	slot.worker.Store(worker)
	s.store.PutEndpoint(worker.ID, slot.service, slot.public, "ready")
}

// keptPaths is the number of versions that have the path of a version, its own included.
const keptPaths = 3

// publishVersion publishes the next version of the configuration. Each version adds a path
// that the next two versions keep, and every other version adds a key and revokes the
// oldest of more than two.
func (s *soak) publishVersion() {
	const keptKeys = 2
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	configuration := hosted.DefaultConfiguration()
	configuration.Version = s.version
	route := configuration.Routes[len(configuration.Routes)-1]
	route.Public = false
	for version := max(1, s.version-keptPaths+1); version <= s.version; version++ {
		route.Name, route.Prefix = fmt.Sprint("version-", version), versionPath(version)
		configuration.Routes = append(configuration.Routes, route)
	}
	var revokedKey string
	if s.version%2 == 1 {
		s.keys = append(s.keys, fmt.Sprint("key-of-", s.version))
	}
	if len(s.keys) > keptKeys {
		revokedKey, s.keys = s.keys[0], s.keys[1:]
	}
	configuration.Tenants[0].Keys = append(configuration.Tenants[0].Keys, s.keys...)
	if old := s.version - keptPaths; old >= 1 {
		s.history.removed[versionPath(old)] = time.Now()
	}
	s.store.Publish(configuration)
	s.record.published[versionPath(s.version)] = time.Now()
	if revokedKey != "" {
		s.history.revoked[revokedKey] = time.Now()
	}
}

func versionPath(version int64) string {
	return fmt.Sprintf("/version-%d/", version)
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
