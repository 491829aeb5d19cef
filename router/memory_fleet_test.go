package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	testPlatform     = "10.9.9.9:7100"
	testNetworkDelay = 2 * time.Millisecond
	testTemplate     = `{"parameters": {"n": {"type": "integer", "default": 1, "minimum": 1}},
		"completion": {"models": [{"model": "m"}], "max_tokens": {"parameter": "n"}}}`
)

// memoryFleet is a fleet of routers and a platform on an in-memory network.
type memoryFleet struct {
	t        *testing.T
	network  *memoryNetwork
	platform *standin.Platform
	stop     func()
	routers  []*memoryRouter
	// adjust changes the settings of each router before it starts; it may be nil.
	adjust func(*settings.Router)
	calls  callRate
}

// callRate holds the largest number of platform calls in one second.
type callRate struct {
	mu   sync.Mutex
	most int64
}

func (c *callRate) add(calls int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = max(c.most, calls)
}

// reset returns the largest number so far and sets it to 0.
func (c *callRate) reset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.most
	c.most = 0
	return most
}

// memoryRouter is one router process of a memoryFleet.
type memoryRouter struct {
	*Router
	abort context.CancelFunc
	ended chan struct{}
}

// runFleet runs a test in virtual time with a fleet of count routers in three
// failure domains, which are all ready when the test starts.
func runFleet(t *testing.T, count int, test func(f *memoryFleet)) {
	t.Helper()
	runFleetWith(t, count, nil, test)
}

// runFleetWith is runFleet with adjusted settings.
func runFleetWith(t *testing.T, count int, adjust func(*settings.Router), test func(f *memoryFleet)) {
	t.Helper()
	klog.LogToStderr(false)
	klog.SetOutput(discard{})
	synctest.Test(t, func(t *testing.T) {
		f := newMemoryFleet(t, count)
		f.adjust = adjust
		defer f.close()
		for i := range count {
			f.start(i)
		}
		f.within(time.Minute, "all routers are ready", func(r *memoryRouter) bool { return r.ready() })
		test(f)
	})
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func newMemoryFleet(t *testing.T, count int) *memoryFleet {
	f := &memoryFleet{t: t, network: newMemoryNetwork(testNetworkDelay), platform: standin.NewPlatform(), routers: make([]*memoryRouter, count)}
	var vms []source.VM
	for i := range count {
		vms = append(vms, source.VM{Address: peerAddress(i), Role: source.RoleRouter, FailureDomain: domain(i), State: source.StateLive})
	}
	for i := range 3 {
		vms = append(vms, source.VM{Address: engineAddress(i), Role: source.RoleEngine, Group: "g", FailureDomain: domain(i), State: source.StateLive})
	}
	f.platform.SetVMs(vms)
	f.publish("models/m", `{"group": "g", "version": "1"}`)
	f.publish("workspaces/a/template", testTemplate)
	listener, _ := f.network.at(testPlatform).Listen(testPlatform)
	server := &http.Server{Handler: f.platform.Handler()}
	go server.Serve(listener)
	done := make(chan struct{})
	f.stop = func() {
		server.Close()
		close(done)
	}
	go f.countCalls(done)
	return f
}

// countCalls records the number of platform calls of each second until done is
// closed.
func (f *memoryFleet) countCalls(done <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	before := f.platform.Calls()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := f.platform.Calls()
		f.calls.add(now - before)
		before = now
	}
}

func domain(i int) string        { return fmt.Sprintf("domain-%d", i%3) }
func peerAddress(i int) string   { return fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250+1) }
func engineAddress(i int) string { return fmt.Sprintf("10.1.0.%d:7200", i+1) }

// start starts the i-th router.
func (f *memoryFleet) start(i int) {
	s := settings.Defaults()
	s.Name, s.FailureDomain, s.Platform = fmt.Sprint("router-", i), domain(i), testPlatform
	s.Peers = peerAddress(i)
	s.Callers, s.Operators = "callers "+s.Peers, "operators "+s.Peers
	s.Seeds = []string{peerAddress(0), peerAddress(1), peerAddress(2)}
	s.Secret = []byte("the secret of the test's fleet")
	if f.adjust != nil {
		f.adjust(&s)
	}
	r, err := New(Options{Settings: &s, Network: f.network.at(s.Peers)})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, abort := context.WithCancel(context.Background())
	started := &memoryRouter{Router: r, abort: abort, ended: make(chan struct{})}
	f.routers[i] = started
	go func() {
		defer close(started.ended)
		r.Run(context.Background(), ctx)
	}()
}

// kill stops the i-th router without draining.
func (f *memoryFleet) kill(i int) {
	r := f.routers[i]
	r.abort()
	r.control.HTTP().CloseIdleConnections()
	<-r.ended
	f.routers[i] = nil
}

func (f *memoryFleet) close() {
	for i, r := range f.routers {
		if r != nil {
			f.kill(i)
		}
	}
	f.stop()
	f.network.setCut(func(string, string) bool { return true })
	// Wait until idle connections and calls in progress have timed out.
	time.Sleep(2 * time.Minute)
}

// publish writes a document to the platform and returns its version.
func (f *memoryFleet) publish(key, document string) int64 {
	version, err := f.platform.Publish(key, json.RawMessage(document), -1)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// within waits in virtual time until all running routers satisfy done, and returns
// how long that took.
func (f *memoryFleet) within(limit time.Duration, what string, done func(*memoryRouter) bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for {
		missing := ""
		for _, r := range f.routers {
			if r != nil && !done(r) {
				missing = r.settings.Name
				break
			}
		}
		if missing == "" {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			f.t.Fatalf("not reached within %v at %s: %s", limit, missing, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// parameters returns the version in force of the parameters of workspace a.
func (r *memoryRouter) parameters() int64 { return r.ParameterVersion("a") }
