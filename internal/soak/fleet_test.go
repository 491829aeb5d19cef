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

// soak is a fleet of real processes under faults.
type soak struct {
	t     *testing.T
	net   string
	dir   string
	store *hosted.Store
	// program is the path of the program under test.
	program string

	random   *rand.Rand
	gateways []*soakGateway
	slots    []*soakSlot
	// proxies stand before the store and each worker.
	proxies []*soakProxy
	plan    []string
	began   time.Time

	// record is what harmed whom; storeSound ends the store's fault, linksSound those of
	// the links.
	record     *soakRecord
	storeSound func()
	linksSound map[int]func()

	mu      sync.Mutex
	history soakHistory
	// version is the last published one, keys are those in force.
	version int64
	keys    []string
}

// soakGateway is one VM; its process may be replaced.
type soakGateway struct {
	number  int
	command *exec.Cmd
	started time.Time
	// thaw ends the spell of a frozen process, nil if it runs.
	thaw func()
	boot atomic.Int64
	// expected tells that the process is to end.
	expected atomic.Bool
	ended    chan struct{}
}

// soakSlot is one address at which one worker after the other serves.
type soakSlot struct {
	service string
	public  string
	worker  atomic.Pointer[hosted.Worker]
	// leaves tells that the worker there says that it leaves.
	leaves bool
	// all are the workers that were there.
	all   []*hosted.Worker
	proxy *soakProxy
}

// ServeHTTP lets the worker of the moment serve.
func (s *soakSlot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.worker.Load().ServeHTTP(w, r)
}

func newSoak(t *testing.T, seed uint64) *soak {
	program, err := buildProgram()
	if err != nil {
		t.Fatalf("the program can't be built: %v", err)
	}
	s := &soak{
		t:          t,
		net:        fleettest.ReserveNetwork(t),
		dir:        soakFolder(t, seed),
		store:      hosted.NewStore(),
		program:    program,
		random:     rand.New(rand.NewPCG(seed, 77)),
		began:      time.Now(),
		record:     &soakRecord{published: map[string]time.Time{}},
		linksSound: map[int]func(){},
	}
	s.history = soakHistory{revoked: map[string]time.Time{}, removed: map[string]time.Time{}, record: s.record}
	s.serve(s.net+".250.2:7100", s.store)
	s.addProxy(s.net+".250.1:7100", s.net+".250.2:7100")
	s.publish()
	for i := range *soakWorkers {
		s.addSlot("engines", i)
		s.addSlot("plain", i)
	}
	for i := range *soakGateways {
		s.gateways = append(s.gateways, &soakGateway{number: i})
		s.start(s.gateways[i])
	}
	t.Cleanup(s.stopAll)
	s.eventually("all gateways are ready", s.allReady)
	return s
}

// serve serves a handler until the test ends.
func (s *soak) serve(address string, handler http.Handler) {
	s.t.Helper()
	fleettest.Serve(s.t, address, handler)
}

// eventually waits for a condition.
func (s *soak) eventually(what string, condition func() bool) {
	s.t.Helper()
	if !fleettest.Eventually(condition) {
		s.t.Fatalf("it did not happen that %s; the logs are in %s", what, s.dir)
	}
}

// soakFolder returns a folder that is kept if the test fails.
func soakFolder(t *testing.T, seed uint64) string {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(folder)
			return
		}
		t.Logf("the logs are kept in %s", folder)
	})
	return folder
}

func (s *soak) addProxy(address, target string) *soakProxy {
	proxy, err := newSoakProxy(address, target)
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
	slot := &soakSlot{service: service, public: fmt.Sprintf("%s.251.%d:7200", s.net, host)}
	s.slots = append(s.slots, slot)
	s.enter(slot)
	direct := fmt.Sprintf("%s.252.%d:7200", s.net, host)
	s.serve(direct, slot)
	slot.proxy = s.addProxy(slot.public, direct)
}

// enter puts a new worker at an address and publishes it.
func (s *soak) enter(slot *soakSlot) {
	worker := hosted.NewWorker(fmt.Sprintf("%s-%s-%d", slot.service, slot.public, len(slot.all)))
	worker.Events = soakEvents
	worker.RetryAfter = fmt.Sprint(soakRest.Seconds())
	slot.leaves = false
	slot.all = append(slot.all, worker)
	slot.worker.Store(worker)
	s.store.PutEndpoint(worker.ID, slot.service, slot.public, "ready")
}

// publish puts the next version in force: it has a path of its own for three
// versions, and every other version replaces the last but one key.
func (s *soak) publish() {
	const keptPaths, keptKeys = 3, 2
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
	var gone string
	if s.version%2 == 1 {
		s.keys = append(s.keys, fmt.Sprint("key-of-", s.version))
	}
	if len(s.keys) > keptKeys {
		gone, s.keys = s.keys[0], s.keys[1:]
	}
	configuration.Tenants[0].Keys = append(configuration.Tenants[0].Keys, s.keys...)
	if old := s.version - keptPaths; old >= 1 {
		s.history.removed[versionPath(old)] = time.Now()
	}
	s.store.Publish(configuration)
	s.record.published[versionPath(s.version)] = time.Now()
	if gone != "" {
		s.history.revoked[gone] = time.Now()
	}
}

func versionPath(version int64) string {
	return fmt.Sprintf("/version-%d/", version)
}

func (s *soak) ip(i int) string {
	const perNumber = 200
	return fmt.Sprintf("%s.%d.%d", s.net, i/perNumber, i%perNumber+1)
}

func (s *soak) settingsPath(g *soakGateway) string {
	return filepath.Join(s.dir, fmt.Sprintf("settings-%d.toml", g.number))
}

// start runs a VM's process. Only the first one starts with the whole fleet.
func (s *soak) start(g *soakGateway) {
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
	g.command = exec.Command(s.program, "gateway")
	g.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	g.boot.Add(1)
	g.expected.Store(false)
	g.started, g.ended = time.Now(), make(chan struct{})
	go s.watch(g, g.command, g.ended)
}

// watch waits for the end of a process.
func (s *soak) watch(g *soakGateway, command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	if !g.expected.Load() {
		s.t.Errorf("VM %d: the process ended by itself: %v", g.number, err)
	}
	close(ended)
}

// end stops a process by a signal, sent once or more, and waits for it.
func (s *soak) end(g *soakGateway, signal syscall.Signal, times int) {
	g.expected.Store(true)
	s.wake(g)
	for range times {
		_ = g.command.Process.Signal(signal)
	}
	<-g.ended
}

// wake lets a frozen process run again.
func (s *soak) wake(g *soakGateway) {
	_ = g.command.Process.Signal(syscall.SIGCONT)
	if g.thaw != nil {
		g.thaw()
		g.thaw = nil
	}
}

func (s *soak) stopAll() {
	for _, g := range s.gateways {
		s.end(g, syscall.SIGKILL, 1)
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
