package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// immediateEngine finishes each answer at once.
type immediateEngine struct{ endpoint.Engine }

func (immediateEngine) Generate(_ context.Context, _ string, work endpoint.Work, sink endpoint.Sink) error {
	return sink(endpoint.Line{RequestID: work.RequestID, StreamID: work.StreamID, Final: &endpoint.Final{}})
}

func (immediateEngine) Load(context.Context, string) (endpoint.Load, error) {
	return endpoint.Load{}, nil
}

// newSingleRouter returns the only router of a list with engines, at a time when it
// may act as their home.
func newSingleRouter(t *testing.T, engines int) *Router {
	t.Helper()
	s := settings.Defaults()
	vms := testVMs(1, 0, engines)
	s.Peers = vms[0].Address
	r, err := New(Options{Settings: &s, Engine: immediateEngine{}})
	if err != nil {
		t.Fatal(err)
	}
	r.members.SetList(source.VMList{Version: 1, VMs: vms}, time.Now())
	for range 100 {
		r.assignment(vms[1].Address, time.Now())
		time.Sleep(100 * time.Millisecond)
	}
	return r
}

// complete runs one request of a chat and returns the engine that served it.
func (r *Router) complete(t *testing.T, choices []candidate, search bool) string {
	t.Helper()
	receiver := &bufferedReceiver{}
	j := &job{
		router:        r,
		work:          endpoint.Work{RequestID: "request", Workspace: "workspace", Chat: "chat", Model: "model", MaxTokens: 100},
		candidates:    choices,
		searchContext: search,
		receiver:      receiver,
	}
	if err := j.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	return receiver.final.Engine
}

// fillEngine reserves the full capacity of an engine.
func (r *Router) fillEngine(t *testing.T, engine string) *balance.Reservation {
	t.Helper()
	work := endpoint.Work{Workspace: "other", Model: "model", MaxTokens: r.settings.Limits.EngineTokens}
	reservation, err := r.admitWork(workOrder{Engine: engine, Work: work})
	if err != nil {
		t.Fatal(err)
	}
	return reservation
}

// TestSpilledChatReturnsToItsEngineWithoutHint checks that a chat which spilled to
// its second candidate stays there, where its context is, even if its first
// candidate has capacity again and the caller sends no hint.
func TestSpilledChatReturnsToItsEngineWithoutHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSingleRouter(t, 5)
		view := r.members.View()
		choices := mustCandidates(t, view, "chat", "")
		first, second := choices[0].vm.Address, choices[1].vm.Address
		if engine := r.complete(t, choices, true); engine != first {
			t.Fatalf("served by %s, the first choice is %s", engine, first)
		}
		reservation := r.fillEngine(t, first)
		if engine := r.complete(t, choices, true); engine != second {
			t.Fatalf("spilled to %s, the second choice is %s", engine, second)
		}
		reservation.Release()
		for range 3 {
			if engine := r.complete(t, choices, true); engine != second {
				t.Errorf("served by %s, the context is at %s", engine, second)
			}
		}
	})
}

// TestHintDoesNotOverrideTheCap checks that a full engine does not serve a chat
// even if the caller's hint names it.
func TestHintDoesNotOverrideTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSingleRouter(t, 5)
		view := r.members.View()
		hinted := mustCandidates(t, view, "chat", "")[3].vm.Address
		choices := mustCandidates(t, view, "chat", hinted)
		if engine := r.complete(t, choices, false); engine != hinted {
			t.Fatalf("served by %s, the hint names %s", engine, hinted)
		}
		r.fillEngine(t, hinted)
		if engine := r.complete(t, choices, false); engine != choices[1].vm.Address {
			t.Errorf("served by %s, the first choice besides the full one is %s", engine, choices[1].vm.Address)
		}
	})
}
