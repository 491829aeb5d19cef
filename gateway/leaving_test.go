package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// plainWorkers are the workers of the plain service of a test fleet.
var plainWorkers = []string{"plain-1", "plain-2"}

// requestCount returns how many requests a worker has seen.
func (f *testFleet) requestCount(id string) int {
	return len(f.workers[id].Seen())
}

// TestLeavingWorkerGetsNoNewRequests lets one of two workers say that it leaves with its
// first answer: it gets no further request, also when its entry comes back.
func TestLeavingWorkerGetsNoNewRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	f.workers["plain-1"].SetDefault(hosted.AnnounceLeaving)
	for f.requestCount("plain-1") == 0 {
		f.expectServed()
	}
	for range 20 {
		f.expectServed()
	}
	f.store.DeleteEndpoint("plain-1")
	f.awaitReady("plain", 1)
	f.store.PutEndpoint("plain-1", "plain", f.address(110, workerPort), "ready")
	f.awaitReady("plain", 2)
	for range 20 {
		f.expectServed()
	}
	if asked := f.requestCount("plain-1"); asked != 1 {
		t.Errorf("the worker that leaves was asked %d times", asked)
	}
}

// TestForeignWordIsNotBelieved lets answers that are not the endpoint's own, or not
// sealed, say that it leaves: it goes on being used.
func TestForeignWordIsNotBelieved(t *testing.T) {
	for _, fault := range []hosted.Behavior{hosted.ForeignID, hosted.Unsealed} {
		f := newTestFleet(t, 1)
		for _, id := range plainWorkers {
			f.workers[id].Header = http.Header{"Server-Leaving": {"1"}}
			f.workers[id].SetNext(fault, fault, fault)
		}
		for range 6 {
			f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work"})
		}
		for _, status := range f.gateways[0].table.Status(0) {
			if status.Leaving {
				t.Errorf("fault %d: %s counts as leaving", fault, status.ID)
			}
		}
	}
}

// TestRestingWorkersGetRest lets all workers of a service ask for rest: each one is asked
// once, and callers are told at once, truly, and with the time at which one is back.
func TestRestingWorkersGetRest(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, id := range plainWorkers {
		f.workers[id].RetryAfter = "60.5"
		f.workers[id].SetDefault(hosted.RefuseWithRetryAfter)
	}
	for i := range 20 {
		got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"})
		if got.status != http.StatusServiceUnavailable || f.executions(got.id) != 0 {
			t.Errorf("request %d got status %d", i, got.status)
		}
		back, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if i > 0 && (err != nil || back < 30 || back > 60.5) {
			t.Errorf("request %d is told to come back after %q", i, got.header.Get("Retry-After"))
		}
	}
	for _, id := range plainWorkers {
		if asked := f.requestCount(id); asked != 1 {
			t.Errorf("%s was asked %d times", id, asked)
		}
	}
}

// TestEndlessRefusalIsGivenUp lets one worker refuse in a body without end: the request
// is served by the other one, and the connection is not used again.
func TestEndlessRefusalIsGivenUp(t *testing.T) {
	f := newTestFleet(t, 1)
	f.workers["plain-1"].SetDefault(hosted.RefuseEndlessly)
	for range 10 {
		f.expectServed()
	}
	f.eventually("the refusals have ended", func() bool { return f.workers["plain-1"].Active() == 0 })
	if f.requestCount("plain-1") == 0 {
		t.Error("the worker was not asked")
	}
}

// expectServed sends a request that must be served.
func (f *testFleet) expectServed() {
	f.t.Helper()
	got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"})
	if got.status != http.StatusOK || got.body != "answer to "+got.id {
		f.t.Errorf("%+v", got)
	}
}

// awaitReady waits until a service has the given number of endpoints.
func (f *testFleet) awaitReady(service string, count int) {
	f.t.Helper()
	f.eventually("the endpoints are known", func() bool {
		return len(f.gateways[0].tracker.Snapshot().Ready[service]) == count
	})

}
