package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// plainWorkers are the IDs of the endpoints of the plain service of a test fleet.
var plainWorkers = []string{"plain-1", "plain-2"}

// requestCount returns the number of requests that an endpoint has received.
func (f *testFleet) requestCount(id string) int {
	return len(f.workers[id].Seen())
}

// TestLeavingWorkerGetsNoNewRequests lets one of two endpoints announce with its first response
// that it is leaving: it must get no further requests, even if its entry is published again.
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
	if count := f.requestCount("plain-1"); count != 1 {
		t.Errorf("the leaving endpoint got %d requests", count)
	}
}

// TestFeedbackOfUntrustedResponsesIsIgnored lets responses that belong to another request or are
// unsealed announce that the endpoint is leaving: the endpoint must stay in use.
func TestFeedbackOfUntrustedResponsesIsIgnored(t *testing.T) {
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
				t.Errorf("fault %d: %s is considered leaving", fault, status.ID)
			}
		}
	}
}

// TestRequestedBackoffIsObeyed lets all endpoints of a service request a backoff. Each must get
// one request only, and callers must be refused at once with the time at which an endpoint is
// available again.
func TestRequestedBackoffIsObeyed(t *testing.T) {
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
			t.Errorf("request %d has Retry-After %q", i, got.header.Get("Retry-After"))
		}
	}
	for _, id := range plainWorkers {
		if count := f.requestCount(id); count != 1 {
			t.Errorf("%s got %d requests", id, count)
		}
	}
}

// TestEndlessRefusalIsGivenUp lets one endpoint refuse requests with a body without end: the
// other one must serve the requests, and the connection must not be reused.
func TestEndlessRefusalIsGivenUp(t *testing.T) {
	f := newTestFleet(t, 1)
	f.workers["plain-1"].SetDefault(hosted.RefuseEndlessly)
	for range 10 {
		f.expectServed()
	}
	f.eventually("the refusals have ended", func() bool { return f.workers["plain-1"].Active() == 0 })
	if f.requestCount("plain-1") == 0 {
		t.Error("the endpoint got no request")
	}
}

// expectServed sends a request that must succeed.
func (f *testFleet) expectServed() {
	f.t.Helper()
	got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"})
	if got.status != http.StatusOK || got.body != "answer to "+got.id {
		f.t.Errorf("%+v", got)
	}
}

// awaitReady waits until a service has the given number of ready endpoints.
func (f *testFleet) awaitReady(service string, count int) {
	f.t.Helper()
	f.eventually("the endpoints are known", func() bool {
		return len(f.gateways[0].tracker.Snapshot().Ready[service]) == count
	})

}
