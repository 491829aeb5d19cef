package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/shed"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestRejectedRequestsCountAsExcess lets all engines refuse requests: the excess load must be
// derived from these refusals. Requests that an engine may have executed must not count.
func TestRejectedRequestsCountAsExcess(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	excess := func() float64 { return g.shedders.forService("engines").Excess(clock.Now()) }
	for range 10 {
		f.setNextForEngines(hosted.Fail)
		f.ask(context.Background(), 1, query{path: "/chat/1", promptParts: chatPromptParts})
	}
	if excess() > 0 {
		t.Errorf("failed requests count: %.2f", excess())
	}
	for range 30 {
		f.setNextForEngines(hosted.Refuse)
		got := f.ask(context.Background(), 1, query{path: "/chat/1", promptParts: chatPromptParts})
		if got.status != http.StatusServiceUnavailable || f.executions(got.id) != 0 {
			t.Fatalf("%+v", got)
		}
	}
	if excess() < 0.3 {
		t.Errorf("refused requests count %.2f", excess())
	}
}

// setNextForEngines sets the behavior of each engine for its next request.
func (f *testFleet) setNextForEngines(behavior hosted.Behavior) {
	for _, id := range []string{"engine-1", "engine-2"} {
		f.workers[id].SetNext(behavior)
	}
}

// TestExcessIsRefusedAtOnce sends requests while the engines are full and many requests have
// been refused: some requests must be refused without an attempt, with a time to retry.
func TestExcessIsRefusedAtOnce(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	shedder := g.shedders.forService("engines")
	for range 200 {
		shedder.Decide(shed.Request{Workspace: "other", Cost: 1}, clock.Now())
		shedder.RecordRejected(clock.Now())
	}
	refused := 0
	for i := range 50 {
		g.fillEngines()
		c := f.newChat(t, chatPromptParts)
		c.request.ID = fmt.Sprintf("%016x", i+1)
		_, err := c.nextEndpoint()
		if err == nil {
			continue
		}
		refused++
		coded := code.Of(err)
		if coded.Code != code.Overloaded && coded.Code != code.WorkspaceShare || coded.RetryAfterMS < retryAfterShort.Milliseconds() {
			t.Errorf("refused with %v, retry after %d ms", err, coded.RetryAfterMS)
		}
		if len(c.triedEndpoints) != 0 {
			t.Error("a refused request counts as attempted")
		}
	}
	if refused < 10 {
		t.Errorf("%d of 50 were refused", refused)
	}
	for _, worker := range f.workers {
		if len(worker.Seen()) != 0 {
			t.Error("an endpoint got a request")
		}
	}
}

// fillEngines records reports of all engines that they are full.
func (g *Gateway) fillEngines() {
	for id, endpoint := range g.tracker.Snapshot().Endpoints {
		load := traffic.Load{Running: endpoint.Slots, Waiting: endpoint.Slots, Slots: endpoint.Slots}
		g.table.RecordLoad(id, load, clock.Now())
	}
}
