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

	"cardamompoint.example/cardamompoint/router/api"
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
