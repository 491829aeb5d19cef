package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
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
