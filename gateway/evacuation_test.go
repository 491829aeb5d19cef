package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestEvacuatedDomainGetsNoRequests evacuates the failure domain of all endpoints. It guards against requests that still
// reach them, refusals that do not tell when to come back, and endpoints that stay unused after the evacuation.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	const gateways = 2
	f := newTestFleet(t, gateways)
	domain := f.gateways[0].tracker.Snapshot().Endpoints["plain-1"].FailureDomain
	f.store.Put("op/evacuate/"+domain, []byte("{}"))
	f.eventually("both VMs apply the evacuation", func() bool { return f.evacuatedDomains() == gateways })
	from := time.Now()
	for number := range 2 * gateways {
		for _, q := range []query{{path: "/lookup/1", body: "work"}, {path: "/deposit/1", body: "work"}, {path: "/chat/1", promptParts: "a1:400,b2:50"}} {
			got := f.ask(context.Background(), 1+number%gateways, q)
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("%s: status %d, Retry-After %q", q.path, got.status, got.header.Get("Retry-After"))
			}
		}
	}
	for id, worker := range f.workers {
		if count := requestsSince(worker, from); count > 0 {
			t.Errorf("%s got %d requests", id, count)
		}
	}
	if status := f.gateways[0].Status().Evacuations; len(status) != 1 || status[0].FailureDomain != domain || status[0].Endpoints != len(f.workers) {
		t.Errorf("the status has %+v", status)
	}
	f.store.Delete("op/evacuate/" + domain)
	f.eventually("both VMs end the evacuation", func() bool { return f.evacuatedDomains() == 0 })
	if got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"}); got.status != http.StatusOK {
		t.Errorf("after the evacuation: status %d", got.status)
	}
}

// evacuatedDomains returns the number of evacuations that all VMs apply.
func (f *testFleet) evacuatedDomains() int {
	total := 0
	for _, g := range f.gateways {
		total += len(g.tracker.Snapshot().Evacuated)
	}
	return total
}

// TestEvacuatedBeforeSendRefuses evacuates the failure domain between the selection of an endpoint and the attempt. It
// guards against a request that reaches the endpoint later than the bound because its VM was slow in between.
func TestEvacuatedBeforeSendRefuses(t *testing.T) {
	f := newTestFleet(t, 1)
	c := f.newCall(query{path: "/deposit/1"})
	c.suspects = []uint64{1}
	x, err := c.newExchange()
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put("op/evacuate/"+x.pick.Endpoint.FailureDomain, []byte("{}"))
	f.eventually("the VM applies the evacuation", func() bool { return f.evacuatedDomains() == 1 })
	if out := x.run(); out.result != resultNotExecuted || !out.unsent || f.executions(c.request.ID) != 0 {
		t.Errorf("%+v after %d runs", out, f.executions(c.request.ID))
	}
}

// TestEvacuationEndsListCalls evacuates the failure domain of all engines while a VM that has just started asks them one
// after the other for their cached parts, the first of which is slow. It guards against list calls to engines that were
// evacuated since the VM began.
func TestEvacuationEndsListCalls(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	domain := g.tracker.Snapshot().Endpoints["engine-1"].FailureDomain
	var calls atomic.Int64
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			f.store.Put("op/evacuate/"+domain, []byte("{}"))
			f.eventually("the VM applies the evacuation", func() bool { return f.evacuatedDomains() == 1 })
		}
		w.WriteHeader(http.StatusNotFound)
	})
	for i, id := range []string{"engine-1", "engine-2"} {
		f.listen(f.address(130+i, workerPort), slow)
		f.store.PutEndpoint(id, "engines", f.address(130+i, workerPort), "ready")
	}
	f.eventually("the VM knows the slow engines", func() bool {
		known := g.tracker.Snapshot().Endpoints
		return known["engine-1"].Address == f.address(130, workerPort) && known["engine-2"].Address == f.address(131, workerPort)
	})
	l := newLearner(g)
	l.queries = gossip.NewQueryCoordinator(g.members, clock.Now().Add(-time.Minute)) // So that all engines are due.
	l.queryEngines(context.Background(), g.tracker.Snapshot())
	if got := calls.Load(); got != 1 {
		t.Errorf("%d list calls, want 1", got)
	}
}
