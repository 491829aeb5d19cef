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

// TestLostRequestsAreCounted lets all engines turn requests away: that is what the
// excess is known from. Requests that an engine may have run do not count.
func TestLostRequestsAreCounted(t *testing.T) {
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
		t.Errorf("requests that were turned away count %.2f", excess())
	}
}

// setNextForEngines lets each engine answer its next request in one way.
func (f *testFleet) setNextForEngines(behaviour hosted.Behavior) {
	for _, id := range []string{"engine-1", "engine-2"} {
		f.workers[id].SetNext(behaviour)
	}
}

// TestExcessIsRefusedAtOnce asks while engines are full and many requests were lost.
// Refused requests are not sent, and callers are told when to come back.
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
			t.Errorf("refused with %v, come back after %d ms", err, coded.RetryAfterMS)
		}
		if len(c.tried) != 0 {
			t.Error("a refused request counts as sent")
		}
	}
	if refused < 10 {
		t.Errorf("%d of 50 were refused", refused)
	}
	for _, worker := range f.workers {
		if len(worker.Seen()) != 0 {
			t.Error("a worker got a request")
		}
	}
}

// fillEngines lets all engines tell that they are full.
func (g *Gateway) fillEngines() {
	for id, endpoint := range g.tracker.Snapshot().Endpoints {
		load := traffic.Load{Running: endpoint.Slots, Waiting: endpoint.Slots, Slots: endpoint.Slots}
		g.table.RecordLoad(id, load, clock.Now())
	}
}
