package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/peer"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// Parameters of the split fleet. The request rate exceeds what the engines' caps
// allow.
const (
	splitFleetRouters       = 4
	splitFleetEngines       = 6
	splitFleetCap           = 8
	splitFleetServiceTime   = 3 * time.Second
	splitFleetRequestPeriod = 150 * time.Millisecond
)

// countingEngine simulates all engines and counts their concurrent requests.
type countingEngine struct {
	endpoint.Engine

	fail atomic.Bool

	mu     sync.Mutex
	counts map[string]int
	starts int
	peak   int
}

func (e *countingEngine) add(address string, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[address] += change
	e.peak = max(e.peak, e.counts[address])
	e.starts += max(0, change)
}

func (e *countingEngine) Generate(_ context.Context, address string, work endpoint.Work, sink endpoint.Sink) error {
	e.add(address, 1)
	defer e.add(address, -1)
	if e.fail.Load() {
		return code.New(code.EndpointFault, "the engine fails")
	}
	time.Sleep(splitFleetServiceTime)
	line := endpoint.Line{RequestID: work.RequestID, StreamID: work.StreamID}
	line.Final = &endpoint.Final{}
	return sink(line)
}

func (e *countingEngine) Cancel(context.Context, string, string) error { return nil }

func (e *countingEngine) Load(_ context.Context, address string) (endpoint.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoint.Load{Requests: e.counts[address], Tokens: e.counts[address]}, nil
}

// splitFleet is a fleet of routers in one process whose links can be cut: routers
// reach each other only while they are on the same side.
type splitFleet struct {
	engine   *countingEngine
	routers  []*Router
	side     [splitFleetRouters]atomic.Int32
	answered [splitFleetRouters]atomic.Int64
	jobs     sync.WaitGroup
	asked    int
}

// link delivers the messages that one router sends.
type link struct {
	fleet *splitFleet
	from  int
}

func (l link) RoundTrip(request *http.Request) (*http.Response, error) {
	for to, r := range l.fleet.routers {
		if r.settings.Peers != request.URL.Host {
			continue
		}
		if l.fleet.side[to].Load() != l.fleet.side[l.from].Load() {
			break
		}
		recorder := httptest.NewRecorder()
		r.peersMux().ServeHTTP(recorder, request)
		return recorder.Result(), nil
	}
	return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
}

func routerAddress(i int) string { return fmt.Sprintf("127.0.0.%d:7001", i+1) }

// discardLogs keeps the log lines of the request load out of the test's output.
func discardLogs(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	t.Cleanup(func() { klog.LogToStderr(true) })
}

func newSplitFleet(t *testing.T) *splitFleet {
	discardLogs(t)
	f := &splitFleet{engine: &countingEngine{counts: map[string]int{}}}
	for i := range splitFleetRouters {
		s := settings.Defaults()
		s.Name, s.Peers, s.Secret = fmt.Sprint("router-", i), routerAddress(i), []byte("a secret of the fleet")
		s.Limits.EngineRequests = splitFleetCap
		s.Limits.EngineFloorTokens, s.Limits.EngineTokens = 1<<20, 1<<20
		s.Timing.ProgressMS = 60000
		r, err := New(Options{Settings: &s, Engine: f.engine})
		if err != nil {
			t.Fatal(err)
		}
		r.control, r.work = peer.NewClient(s.Secret, link{f, i}), peer.NewClient(s.Secret, link{f, i})
		r.store.Apply([]source.Document{
			{Key: "models/m", Version: 1, Data: []byte(`{"group": "engines", "version": "1"}`)},
			{Key: "workspaces/w/template", Version: 2, Data: []byte(`{"completion": {"models": [{"model": "m"}], "priority": "tag"}}`)},
		}, 2)
		r.members.SetList(f.list(1), time.Now())
		r.synced.Store(true)
		f.routers = append(f.routers, r)
	}
	return f
}

// list returns a version of the list of VMs in which the given routers are leaving.
func (f *splitFleet) list(version int64, without ...int) source.VMList {
	list := source.VMList{Version: version}
	for i := range splitFleetRouters {
		list.VMs = append(list.VMs, source.VM{Address: routerAddress(i), Role: source.RoleRouter, State: source.StateLive})
	}
	for _, i := range without {
		list.VMs[i].State = source.StateLeaving
	}
	for i := range splitFleetEngines {
		address := fmt.Sprintf("127.0.1.%d:7200", i+1)
		list.VMs = append(list.VMs, source.VM{Address: address, Role: source.RoleEngine, Group: "engines", State: source.StateLive})
	}
	return list
}

// start runs the periodic tasks of all routers except their freeze detectors, until
// ctx ends.
func (f *splitFleet) start(ctx context.Context) {
	for _, r := range f.routers {
		go r.runHeartbeats(ctx)
		go r.renewLeases(ctx)
		go r.pollLoads(ctx)
	}
}

// flood sends requests to each of the given routers for d.
func (f *splitFleet) flood(d time.Duration, at ...int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(splitFleetRequestPeriod) {
		for _, i := range at {
			f.asked++
			f.ask(i, fmt.Sprint("chat-", f.asked))
		}
	}
}

// ask sends one request of a chat to the i-th router, without waiting for the
// answer.
func (f *splitFleet) ask(i int, chat string) {
	r := f.routers[i]
	f.jobs.Go(func() {
		body := &api.CompletionRequest{Workspace: "w", Chat: chat, Messages: []api.Message{{Role: "user", Content: "?"}}}
		j, timeout, err := r.newJob(chat, body)
		if err != nil {
			panic(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		j.receiver = &bufferedReceiver{}
		if j.run(ctx) == nil {
			f.answered[i].Add(1)
		}
	})
}

// runFreezeDetectors runs the freeze detectors of the given routers until ctx ends.
// A router whose detector does not run is frozen.
func (f *splitFleet) runFreezeDetectors(ctx context.Context, of ...int) {
	for _, i := range of {
		go f.routers[i].freezeDetector.run(ctx)
	}
}

// runSplitFleet runs a scenario with a new fleet in virtual time, and checks that
// the engines' caps were reached and never exceeded.
func runSplitFleet(t *testing.T, play func(ctx context.Context, f *splitFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newSplitFleet(t)
		f.start(ctx)
		play(ctx, f)
		f.jobs.Wait()
		cancel()
		synctest.Wait()
		if f.engine.peak > splitFleetCap {
			t.Errorf("%d requests at one engine, the cap is %d", f.engine.peak, splitFleetCap)
		}
		if f.engine.peak < splitFleetCap {
			t.Errorf("at most %d requests at one engine, the flood should reach the cap %d", f.engine.peak, splitFleetCap)
		}
	})
}

var everyRouter = []int{0, 1, 2, 3}

// TestTwoHalvesKeepCaps cuts the fleet into two halves that reach the same engines:
// both must keep answering without exceeding a cap together.
func TestTwoHalvesKeepCaps(t *testing.T) {
	runSplitFleet(t, func(ctx context.Context, f *splitFleet) {
		f.runFreezeDetectors(ctx, everyRouter...)
		f.flood(15*time.Second, everyRouter...)
		f.side[2].Store(1)
		f.side[3].Store(1)
		f.flood(40*time.Second, everyRouter...)
		before := [2]int64{f.answered[0].Load(), f.answered[2].Load()}
		f.flood(10*time.Second, everyRouter...)
		if f.answered[0].Load() == before[0] || f.answered[2].Load() == before[1] {
			t.Error("one half does not answer")
		}
		f.side[2].Store(0)
		f.side[3].Store(0)
		f.flood(30*time.Second, everyRouter...)
	})
}

// TestFrozenRouterKeepsCaps freezes a router, so that its backup takes over, and
// wakes it up: it must not admit work to its engines in addition.
func TestFrozenRouterKeepsCaps(t *testing.T) {
	runSplitFleet(t, func(ctx context.Context, f *splitFleet) {
		f.runFreezeDetectors(ctx, 0, 1, 2)
		awake, freeze := context.WithCancel(ctx)
		f.runFreezeDetectors(awake, 3)
		f.flood(15*time.Second, everyRouter...)
		freeze()
		f.side[3].Store(1)
		f.flood(20*time.Second, 0, 1, 2)
		f.ask(3, "chat of the woken router")
		f.flood(time.Second, everyRouter...)
		f.side[3].Store(0)
		f.runFreezeDetectors(ctx, 3)
		f.flood(20*time.Second, everyRouter...)
	})
}

// TestRouterThatLeavesTheListKeepsCaps delivers a list without one router to the
// others at different times, so that old and new homes coexist.
func TestRouterThatLeavesTheListKeepsCaps(t *testing.T) {
	runSplitFleet(t, func(ctx context.Context, f *splitFleet) {
		f.runFreezeDetectors(ctx, everyRouter...)
		f.flood(15*time.Second, everyRouter...)
		for i, r := range f.routers {
			r.members.SetList(f.list(2, 3), time.Now())
			f.flood(500*time.Millisecond, everyRouter...)
			if i == 0 {
				f.flood(time.Second, everyRouter...)
			}
		}
		f.flood(20*time.Second, everyRouter...)
	})
}

// TestFailingEnginesDoNotMultiplyLoad checks that the retry budget bounds the
// attempts while every engine fails.
func TestFailingEnginesDoNotMultiplyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newSplitFleet(t)
		f.start(ctx)
		f.runFreezeDetectors(ctx, everyRouter...)
		time.Sleep(5 * time.Second)
		f.engine.fail.Store(true)
		f.flood(20*time.Second, everyRouter...)
		f.jobs.Wait()
		bound := float64(f.asked)*(1+settings.Defaults().Limits.RetryRatio) + splitFleetRouters*minRetryTokens
		if float64(f.engine.starts) > bound {
			t.Errorf("%d starts for %d requests, the bound is %.0f", f.engine.starts, f.asked, bound)
		}
		if f.engine.starts < f.asked/2 {
			t.Errorf("only %d starts for %d requests", f.engine.starts, f.asked)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWokenRouterWaitsForConfirmation checks that a router which wakes from a
// freeze may not act as home, and has no lease, until a peer has confirmed its
// list.
func TestWokenRouterWaitsForConfirmation(t *testing.T) {
	for _, freeze := range []time.Duration{2 * time.Second, 20 * time.Second} {
		t.Run(freeze.String(), func(t *testing.T) { testWoken(t, freeze) })
	}
}

func testWoken(t *testing.T, freeze time.Duration) {
	f := newSplitFleet(t)
	r := f.routers[0]
	now := time.Now()
	r.setHistory.update(r.members.View(), now)
	r.setHistory.recordSpread(1, now)
	engine := engineOf(t, newRouterSet(r.members.View()), routerAddress(0))
	r.admission.LeaseGranted(routerAddress(1), now, now)
	if r.assignment(engine, now).Since.IsZero() {
		t.Fatal("the home may not act")
	}
	wake := now.Add(freeze)
	if !r.assignment(engine, wake).Since.IsZero() {
		t.Error("a router that has just woken acts on its old list")
	}
	if r.admission.HoldsLease(wake) {
		t.Error("a router that has just woken has kept its lease")
	}
	beat := member.Heartbeat{From: member.Identity{Address: routerAddress(1)}, ListVersion: 1}
	r.members.HandleHeartbeat(beat, wake.Add(time.Millisecond))
	if r.assignment(engine, wake.Add(2*time.Millisecond)).Since.IsZero() {
		t.Error("the home may not act although a peer has confirmed its list")
	}
}
