package router

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/source"
)

// polledEngine counts the requested load reports of each engine.
type polledEngine struct {
	endpoint.Engine

	mu    sync.Mutex
	asked map[string]int
	load  endpoint.Load
	err   error
}

func (e *polledEngine) Load(_ context.Context, address string) (endpoint.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[address]++
	return e.load, e.err
}

// newSoleHome returns a router that is the home of all engines.
func newSoleHome(t *testing.T, engines int) (*Router, *polledEngine) {
	r, engine := newSplitFleet(t).routers[0], &polledEngine{asked: map[string]int{}}
	r.loadClient = engine
	list := source.VMList{Version: 2}
	list.VMs = append(list.VMs, source.VM{Address: routerAddress(0), Role: source.RoleRouter, State: source.StateLive})
	for i := range engines {
		address := fmt.Sprint("engine-", i)
		list.VMs = append(list.VMs, source.VM{Address: address, Role: source.RoleEngine, Group: "engines", State: source.StateLive})
	}
	r.members.SetList(list, time.Now())
	r.recordListSpread(time.Now())
	return r, engine
}

// TestReportsAreReadInTurn checks that the reports of all engines are read equally
// often, at most maxPollsPerPeriod in each period.
func TestReportsAreReadInTurn(t *testing.T) {
	const engines, rounds = 35, 35
	r, engine := newSoleHome(t, engines)
	poller := &loadPoller{}
	for round := 1; round <= rounds; round++ {
		r.pollRound(t.Context(), poller)
		sum := 0
		for _, asked := range engine.asked {
			sum += asked
		}
		if sum > round*maxPollsPerPeriod {
			t.Fatalf("%d reports are read in %d rounds", sum, round)
		}
	}
	for address, asked := range engine.asked {
		if asked != rounds*maxPollsPerPeriod/engines {
			t.Errorf("the report of %s is read %d times", address, asked)
		}
	}
	if len(engine.asked) != engines {
		t.Errorf("the reports of %d engines are read", len(engine.asked))
	}
}

// TestLeavingEngineGetsNoNewWork checks that an engine which reports that it is
// leaving gets no more work, even while the list has it as live.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	r, engine := newSoleHome(t, 1)
	order := workOrder{Engine: "engine-0", Work: endpoint.Work{Model: "m", Workspace: "w", MaxTokens: 1}}
	if _, err := r.admitWork(order); err != nil {
		t.Fatal(err)
	}
	engine.load = endpoint.Load{Leaving: true}
	r.pollRound(t.Context(), &loadPoller{})
	if _, err := r.admitWork(order); !code.Is(err, code.EndpointLeaving) {
		t.Errorf("an engine that reports that it is leaving gets work: %v", err)
	}
}

// TestSilentEngineIsNotWaitedFor checks that admission stops polling an engine that
// does not answer.
func TestSilentEngineIsNotWaitedFor(t *testing.T) {
	r, engine := newSoleHome(t, 1)
	order := workOrder{Engine: "engine-0", Work: endpoint.Work{Model: "m", Workspace: "w", MaxTokens: 1}}
	engine.err = code.New(code.EndpointFault, "no report")
	for range 10 {
		if _, err := r.admitWork(order); !code.Is(err, code.ViewStale) {
			t.Fatalf("an engine without a report gets work: %v", err)
		}
	}
	if asked := slices.Collect(maps.Values(engine.asked)); len(asked) != 1 || asked[0] > 3 {
		t.Errorf("an engine that does not answer is polled %v times", asked)
	}
}
