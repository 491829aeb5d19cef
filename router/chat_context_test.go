package router

import (
	"context"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/balance"
	"cardamompoint.example/cardamompoint/endpoint"
	"cardamompoint.example/cardamompoint/member"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/settings"
)

// quickEngine answers each work at once.
type quickEngine struct{ endpoint.Engine }

func (quickEngine) Generate(_ context.Context, _ string, work endpoint.Work, sink endpoint.Sink) error {
	return sink(endpoint.Line{RequestID: work.RequestID, StreamID: work.StreamID, Final: &endpoint.Final{}})
}

// newPlaceRouter returns the only router of a list with engines.
func newPlaceRouter(t *testing.T, engines int) *Router {
	t.Helper()
	s := settings.Defaults()
	vms := testVMs(1, 0, engines)
	s.Peers = vms[0].Address
	r, err := New(Options{Settings: &s, Engine: quickEngine{}})
	if err != nil {
		t.Fatal(err)
	}
	r.members.SetList(platform.VMs{Version: 1, VMs: vms}, time.Now())
	return r
}

// ask runs one request of a returning chat and returns the engine that served it.
func (r *Router) ask(t *testing.T, view *member.View) string {
	t.Helper()
	taker := &wholeReceiver{}
	j := &job{
		router:     r,
		work:       endpoint.Work{RequestID: "request", Workspace: "workspace", Chat: "chat", Model: "model", MaxTokens: 100},
		candidates: mustCandidates(t, view, "chat", ""),
		search:     true,
		receiver:   taker,
	}
	if err := j.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	return taker.final.Engine
}

func TestSpilledChatReturnsToItsEngineWithoutHint(t *testing.T) {
	r := newPlaceRouter(t, 5)
	view := r.members.View()
	choices := mustCandidates(t, view, "chat", "")
	first, second := choices[0].vm.Address, choices[1].vm.Address
	if engine := r.ask(t, view); engine != first {
		t.Fatalf("served by %s, the first choice is %s", engine, first)
	}
	other := balance.Request{Engine: first, Model: "model", Tokens: r.settings.Limits.EngineTokens}
	reservation, err := r.ledger.Reserve(other)
	if err != nil {
		t.Fatal(err)
	}
	if engine := r.ask(t, view); engine != second {
		t.Fatalf("spilled to %s, the second choice is %s", engine, second)
	}
	reservation.Release()
	for range 3 {
		if engine := r.ask(t, view); engine != second {
			t.Errorf("served by %s, the context is at %s", engine, second)
		}
	}
}
