package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// emulatedRound is the time between two calls of Update, as in package gateway.
const emulatedRound = 60 * time.Millisecond

// emulatedQueries runs the QueryCoordinators of all VMs of a fleet in which no VM knows at
// the start which prompt parts the engines hold.
type emulatedQueries struct {
	fleet        *emulatedFleet
	engines      []string
	coordinators map[*emulatedVM]*QueryCoordinator
	nextRound    map[*emulatedVM]clock.Boot
	// queries counts the queries to each engine.
	queries map[string]int
}

func newEmulatedQueries(fleet *emulatedFleet, engines int) *emulatedQueries {
	e := &emulatedQueries{fleet: fleet, coordinators: map[*emulatedVM]*QueryCoordinator{}, nextRound: map[*emulatedVM]clock.Boot{}, queries: map[string]int{}}
	for i := range engines {
		e.engines = append(e.engines, fmt.Sprintf("engine-%d", i))
	}
	return e
}

// run advances the fleet by duration. VMs start to coordinate 300 ms after their start.
func (e *emulatedQueries) run(duration time.Duration) {
	for end := e.fleet.now.Add(duration); e.fleet.now < end; {
		e.fleet.step()
		for _, vm := range e.fleet.vms {
			if e.fleet.now.Sub(vm.started) >= 300*time.Millisecond && e.nextRound[vm] <= e.fleet.now {
				e.round(vm)
			}
		}
	}
}

func (e *emulatedQueries) round(vm *emulatedVM) {
	now := e.fleet.now
	e.nextRound[vm] = now.Add(emulatedRound)
	if e.coordinators[vm] == nil {
		e.coordinators[vm] = NewQueryCoordinator(vm.table, now)
	}
	coordinator, survey := e.coordinators[vm], vm.table.Survey("domain-0", now)
	if !coordinator.Update(survey, now) {
		vm.hasPartLocations = len(survey.WithPartLocations) > 0
		return
	}
	for _, engine := range e.engines {
		if coordinator.ShouldQuery(engine, now) {
			e.queries[engine]++
		}
	}
	vm.hasPartLocations = coordinator.Complete(now)
}

// TestEachEngineIsQueriedByFewVMs restarts whole fleets, with start times spread over
// different periods: at least 19 of 20 engines must be queried, and each by at most two VMs
// on average. VMs that don't know of each other yet may query the same engine.
func TestEachEngineIsQueriedByFewVMs(t *testing.T) {
	const engines = 160
	for _, test := range []struct {
		vms         int
		spread, lag time.Duration
	}{
		{7, 50 * time.Millisecond, 0},
		{7, 500 * time.Millisecond, 0},
		{9, 300 * time.Millisecond, 500 * time.Millisecond},
		{63, 500 * time.Millisecond, 0},
		{63, 300 * time.Millisecond, 500 * time.Millisecond},
		{295, 100 * time.Millisecond, 0},
		{295, 500 * time.Millisecond, 0},
		{295, time.Second, 0},
		{295, 300 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d VMs within %v, seeds %v later", test.vms, test.spread, test.lag), func(t *testing.T) {
			t.Parallel()
			emulated := newEmulatedQueries(newEmulatedFleet(test.vms, test.spread, test.lag, rand.New(rand.NewPCG(1, 2))), engines)
			emulated.run(test.spread + test.lag + 5*time.Second)
			if got := len(emulated.queries); 20*got < 19*engines {
				t.Errorf("%d of %d engines were queried", got, engines)
			}
			total := 0
			for _, count := range emulated.queries {
				total += count
			}
			t.Logf("%d queries to %d engines", total, engines)
			if total > 2*engines {
				t.Errorf("%d queries to %d engines, want at most two each", total, engines)
			}
		})
	}
}
