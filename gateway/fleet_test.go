package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/budget"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// The ports of each VM of a test fleet.
const (
	frontPort   = 7001
	readyPort   = 7002
	controlPort = 7003
	peerPort    = 7010
	storePort   = 7100
	workerPort  = 7200
)

// testFleet consists of a store, endpoints and gateways on one loopback network.
type testFleet struct {
	t        testing.TB
	network  string
	store    *hosted.Store
	gateways []*Gateway
	stops    []context.CancelFunc
	done     []chan error
	// workers holds the endpoints by ID.
	workers  map[string]*hosted.Worker
	requests atomic.Int64
	// firstStart reports whether the gateways start in a first start of the whole fleet.
	firstStart bool
	// storeHost is the host number of the store's address for gateways that start from now on.
	storeHost int
	// startTimeouts replaces the timeouts of gateways that start from now on, unless it is
	// zero.
	startTimeouts startTimeouts
}

// newTestFleet starts a store with the default configuration, two engines, two plain endpoints
// and count gateways, and waits until all are ready.
func newTestFleet(t testing.TB, count int) *testFleet {
	t.Helper()
	return startTestFleet(t, count, false)
}

// startTestFleet does the same as newTestFleet. firstStart specifies whether it is a first
// start of the whole fleet.
func startTestFleet(t testing.TB, count int, firstStart bool) *testFleet {
	t.Helper()
	f := &testFleet{t: t, network: fleettest.ReserveNetwork(t), store: hosted.NewStore(), workers: map[string]*hosted.Worker{}, firstStart: firstStart, storeHost: 200}
	f.listen(f.address(f.storeHost, storePort), f.store)
	f.store.Publish(hosted.DefaultConfiguration())
	for i, id := range []string{"engine-1", "engine-2"} {
		f.addEndpoint(id, "engines", 100+i)
	}
	for i, id := range []string{"plain-1", "plain-2"} {
		f.addEndpoint(id, "plain", 110+i)
	}
	for i := range count {
		f.start(i + 1)
	}
	if firstStart {
		f.endDiscovery()
	}
	f.eventually("all gateways are ready", func() bool {
		for i := range f.gateways {
			if f.ready(i+1) != http.StatusOK || len(f.gateways[i].tracker.Snapshot().Endpoints) < len(f.workers) {
				return false
			}
		}
		return true
	})
	return f
}

// endlessFirstStart keeps VMs in the discovery of their first start.
var endlessFirstStart = firstStartTimes{discovery: time.Hour, read: time.Hour}

// endDiscovery ends the discovery of a first start once all VMs know each other, however long
// that takes on a slow machine.
func (f *testFleet) endDiscovery() {
	f.t.Helper()
	f.eventually("all gateways know each other", func() bool {
		return !slices.ContainsFunc(f.gateways, func(g *Gateway) bool { return len(g.members.Alive(clock.Now())) < len(f.gateways)-1 })
	})
	for _, g := range f.gateways {
		g.firstStartTimes.Store(&firstStartTimes{read: endlessFirstStart.read})
	}
}

func (f *testFleet) address(host, port int) string {
	return fmt.Sprintf("%s.0.%d:%d", f.network, host, port)
}

// listen serves handler at address until the test ends.
func (f *testFleet) listen(address string, handler http.Handler) {
	f.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := newServer(handler)
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() {
		_ = server.Close()
		_ = listener.Close()
	})
}

func (f *testFleet) addEndpoint(id, service string, host int) *hosted.Worker {
	worker := hosted.NewWorker(id)
	f.workers[id] = worker
	f.listen(f.address(host, workerPort), worker)
	f.store.PutEndpoint(id, service, f.address(host, workerPort), "ready")
	return worker
}

// publish publishes a version of the default configuration with changes.
func (f *testFleet) publish(version int64, changes ...func(*hosted.Configuration)) {
	configuration := hosted.DefaultConfiguration()
	configuration.Version = version
	for _, change := range changes {
		change(&configuration)
	}
	f.store.Publish(configuration)
}

// start runs a gateway on the VM with the given number.
func (f *testFleet) start(number int) {
	f.t.Helper()
	ip := fmt.Sprintf("%s.0.%d", f.network, number)
	seeds := []string{f.address(1, controlPort), f.address(2, controlPort)}
	text := hosted.Settings(ip, [4]int{frontPort, readyPort, controlPort, peerPort}, f.address(f.storeHost, storePort), seeds)
	settings, err := platform.ParseSettings([]byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	settings.FirstStart = f.firstStart
	g, err := New(settings)
	if err != nil {
		f.t.Fatal(err)
	}
	g.budget = budget.New(g.retryLimits, g.fleetSize, g.started.Add(-g.retryLimits().Window)) // As if it ran for long.
	g.linger = 0                                                                              // There is no load balancer that has to notice the shutdown.
	if f.firstStart {
		g.firstStartTimes.Store(&endlessFirstStart)
	}
	if f.startTimeouts != (startTimeouts{}) {
		g.startTimeouts = f.startTimeouts
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	f.gateways = append(f.gateways, g)
	f.stops = append(f.stops, stop)
	f.done = append(f.done, done)
	f.t.Cleanup(func() {
		stop()
		<-done
	})
}

func (f *testFleet) ready(number int) int {
	response, err := http.Get("http://" + f.address(number, readyPort) + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// eventually waits until condition is true. It fails the test only after a much longer time
// than any healthy run needs.
func (f *testFleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	if !fleettest.Eventually(condition) {
		f.t.Fatalf("condition not reached: %s", what)
	}
}

// query describes a caller's request. Empty fields have a default or are not sent.
type query struct {
	method      string
	path        string
	key         string
	body        string
	deadline    string
	promptParts string
	headers     map[string]string
}

// result is the response that a caller receives.
type result struct {
	id     string
	status int
	body   string
	header http.Header
	// complete reports whether the response ended without an error.
	complete bool
	err      error
}

// ask sends a request to the VM with the given number.
func (f *testFleet) ask(ctx context.Context, number int, q query) result {
	id := fmt.Sprintf("%016x", f.requests.Add(1))
	request := f.newRequest(ctx, number, id, q)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{id: id, err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{id: id, status: response.StatusCode, body: string(body), header: response.Header, complete: err == nil, err: err}
}

func (f *testFleet) newRequest(ctx context.Context, number int, id string, q query) *http.Request {
	method := q.method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.address(number, frontPort)+q.path, strings.NewReader(q.body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = hosted.Host
	request.Header.Set("Cardamompoint-Attempt-Id", id)
	if q.key == "" {
		q.key = hosted.Key
	}
	request.Header.Set("Authorization", "Bearer "+q.key)
	if q.deadline != "" {
		request.Header.Set("Cardamompoint-Request-Deadline", q.deadline)
	}
	if q.promptParts != "" {
		request.Header.Set("Cardamompoint-Model", "m")
		request.Header.Set("Cardamompoint-Token-Counts", "100,50")
		request.Header.Set("Cardamompoint-Prompt-Prefix", q.promptParts)
	}
	for name, value := range q.headers {
		request.Header.Set(name, value)
	}
	return request
}

// sendRaw sends bytes to the VM with the given number and returns the status line of the first
// response, "" if there is none.
func (f *testFleet) sendRaw(number int, text string) string {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address(number, frontPort))
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		f.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return ""
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimSpace(line)
}

// executions returns how often all endpoints together executed a request.
func (f *testFleet) executions(id string) int {
	total := 0
	for _, worker := range f.workers {
		total += worker.Runs(id)
	}
	return total
}

// servePlain replaces the plain endpoints by two that a handler serves.
func (f *testFleet) servePlain(handler http.Handler) {
	f.t.Helper()
	for host, id := range map[int]string{120: "own-1", 121: "own-2"} {
		f.listen(f.address(host, workerPort), handler)
		f.store.PutEndpoint(id, "plain", f.address(host, workerPort), "ready")
	}
	for _, id := range plainWorkers {
		f.store.DeleteEndpoint(id)
	}
	f.eventually("only these endpoints are known", func() bool {
		ready := f.gateways[0].tracker.Snapshot().Ready["plain"]
		return len(ready) == 2 && strings.HasPrefix(ready[0].ID, "own") && strings.HasPrefix(ready[1].ID, "own")
	})
}
