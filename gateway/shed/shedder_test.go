package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// simulation sends a mix of requests through one Shedder to endpoints that take a
// limited number of requests per second.
type simulation struct {
	t       *testing.T
	shedder *Shedder
	random  *rand.Rand
	now     clock.Boot
	// capacity is the number of requests that the endpoints take per second. tokens is the
	// fill of the token bucket that limits them.
	capacity float64
	tokens   float64
	// requested and served count the requests by the source's name.
	requested map[string]int
	served    map[string]int
}

// source is the requests of one workspace and priority. rate is per second.
type source struct {
	name      string
	workspace string
	priority  int
	rate      int
}

// newSimulation returns a simulation without requests so far.
func newSimulation(t *testing.T, capacity float64) *simulation {
	return &simulation{
		t: t, shedder: New(), random: rand.New(rand.NewPCG(5, 7)), now: clock.Boot(time.Hour), capacity: capacity,
	}
}

// run sends the requests of the sources for some seconds, in random order within each
// second. It returns the share of requests that was served, by the source's name.
func (sim *simulation) run(seconds int, sources ...source) map[string]float64 {
	sim.requested, sim.served = map[string]int{}, map[string]int{}
	for range seconds {
		var second []source
		for _, source := range sources {
			for range source.rate {
				second = append(second, source)
			}
		}
		sim.random.Shuffle(len(second), func(a, b int) { second[a], second[b] = second[b], second[a] })
		for _, source := range second {
			sim.send(source, time.Second/time.Duration(len(second)))
		}
	}
	shares := map[string]float64{}
	for name, requested := range sim.requested {
		shares[name] = float64(sim.served[name]) / float64(requested)
	}
	return shares
}

// send sends one request after a pause. Full endpoints reject it.
func (sim *simulation) send(from source, pause time.Duration) {
	sim.now = sim.now.Add(pause)
	sim.tokens = min(sim.capacity/4, sim.tokens+sim.capacity*pause.Seconds())
	sim.requested[from.name]++
	occupancy := 0.3
	if sim.tokens < 1 {
		occupancy = 1.1
	}
	decision := sim.shedder.Decide(Request{
		Workspace: from.workspace, Priority: from.priority, Cost: 1, Draw: sim.random.Uint64(), Occupancy: max(occupancy, minOccupancy),
	}, sim.now)
	switch {
	case decision.Refused:
	case sim.tokens < 1:
		sim.shedder.RecordRejected(sim.now)
	default:
		sim.tokens--
		sim.served[from.name]++
	}
}

// evenSources are three workspaces that send the same, half of it urgent.
var evenSources = []source{
	{"urgent", "a", 0, 10}, {"urgent", "b", 0, 10}, {"urgent", "c", 0, 10},
	{"other", "a", 2, 10}, {"other", "b", 2, 10}, {"other", "c", 2, 10},
}

func TestNothingIsRefusedWithRoom(t *testing.T) {
	for name, share := range newSimulation(t, 80).run(30, evenSources...) {
		if share < 1 {
			t.Errorf("%s: %.3f served", name, share)
		}
	}
}

// TestUrgentGoFirstAndNobodyStarves sends twice the capacity. Urgent requests must be
// served more often, and the others not starve.
func TestUrgentGoFirstAndNobodyStarves(t *testing.T) {
	shares := newSimulation(t, 30).run(60, evenSources...)
	if shares["urgent"] < shares["other"]+0.05 {
		t.Errorf("urgent requests are not served more often: %v", shares)
	}
	if shares["other"] < 0.25*0.5 {
		t.Errorf("the other requests starve: %v", shares)
	}
}

// TestFloodIsRefusedFirst lets one workspace send ten times the capacity. Small
// workspaces must hardly notice, and the capacity must be used.
func TestFloodIsRefusedFirst(t *testing.T) {
	small := []source{{"small", "a", 2, 2}, {"small", "b", 2, 2}, {"small", "c", 2, 2}, {"small", "d", 2, 2}, {"small", "e", 2, 2}}
	sim := newSimulation(t, 20)
	shares := sim.run(60, append(small, source{"flood", "f", 0, 200})...)
	if shares["small"] < 0.75 {
		t.Errorf("small workspaces are affected by the flood: %v", shares)
	}
	if shares["flood"] < 0.25*20/210 {
		t.Errorf("the flooding workspace starves: %v", shares)
	}
	if total := sim.served["small"] + sim.served["flood"]; total < 60*20*9/10 {
		t.Errorf("only %d requests were served, the capacity is %d", total, 60*20)
	}
}

// recovery is the time in seconds after an overload from which all requests must be
// served again. It is the shortest one that any requirement sets.
const recovery = 12

// TestRefusalsEndWithTheLoad raises the capacity above the load after an overload. No
// request may be refused after the recovery time.
func TestRefusalsEndWithTheLoad(t *testing.T) {
	sim := newSimulation(t, 15)
	sim.run(30, evenSources...)
	sim.capacity = 100
	sim.run(recovery, evenSources...)
	for name, share := range sim.run(20, evenSources...) {
		if share < 1 {
			t.Errorf("%d s after the overload %.3f of %s requests are served", recovery, share, name)
		}
	}
}

// TestFreeSlotsEndRefusals sends requests right after an overload, while the excess has
// not decayed but slots are free again. None may be refused.
func TestFreeSlotsEndRefusals(t *testing.T) {
	sim := newSimulation(t, 10)
	sim.run(30, evenSources...)
	for range 100 {
		decision := sim.shedder.Decide(Request{Workspace: "a", Priority: 9, Cost: 1, Occupancy: minOccupancy / 2}, sim.now)
		if decision.Refused {
			t.Fatal("refused while slots are free")
		}
	}
}

// TestGoneWorkspacesAreForgotten sends one request each from many workspaces. The number
// of tracked workspaces must stay bounded.
func TestGoneWorkspacesAreForgotten(t *testing.T) {
	s := New()
	now := clock.Boot(time.Hour)
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		s.Decide(Request{Workspace: time.Duration(i).String(), Cost: 1}, now)
	}
	if len(s.workByWorkspace) > 2500 {
		t.Errorf("%d workspaces are tracked", len(s.workByWorkspace))
	}
}

func BenchmarkDecide(b *testing.B) {
	s := New()
	now := clock.Boot(time.Hour)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Decide(Request{Workspace: "a", Priority: 1, Cost: 1, Occupancy: 1}, now)
	}
}

// TestLongWaitsAreRefused lets endpoints queue more than they can answer within the
// objective, but reject nothing. The expected wait alone must cause refusals.
func TestLongWaitsAreRefused(t *testing.T) {
	objective := time.Second
	for _, c := range []struct {
		name      string
		backlog   time.Duration
		occupancy float64
		refused   bool
	}{
		{"nothing waits", 0, 0.9, false},
		{"prompts wait, slots are free", 700 * time.Millisecond, 0.2, true},
		{"prompts wait for less than half of the time, slots are free", 380 * time.Millisecond, 0.1, false},
		{"prompts wait as long, slots are taken", 380 * time.Millisecond, 0.8, true},
		{"requests wait for slots", 0, 1.5, true},
		{"a short wait", 100 * time.Millisecond, 1, false},
	} {
		s := New()
		now := clock.Boot(time.Hour)
		refused := 0
		for i := range 200 {
			now = now.Add(20 * time.Millisecond)
			s.RecordAnswerTime(2 * time.Second)
			decision := s.Decide(Request{Cost: 1, Draw: uint64(i) << 55, Backlog: c.backlog, Objective: objective, Occupancy: c.occupancy}, now)
			if decision.Refused {
				refused++
			}
		}
		if (refused > 100) != c.refused {
			t.Errorf("%s: %d of 200 requests are refused", c.name, refused)
		}
	}
}

// TestSmallWorkspacesAreNotOver lets hundreds of workspaces send now and then. One that
// happens to send a few requests in a row must not count as over its share.
func TestSmallWorkspacesAreNotOver(t *testing.T) {
	s := New()
	now := clock.Boot(time.Hour)
	for i := range 1000 {
		now = now.Add(25 * time.Millisecond)
		s.Decide(Request{Workspace: time.Duration(i).String(), Cost: 1}, now)
	}
	for range 5 {
		if decision := s.Decide(Request{Workspace: "small", Cost: 1}, now); decision.OverShare {
			t.Fatal("a workspace with five requests of hundreds is over its share")
		}
	}
	for range 500 {
		s.Decide(Request{Workspace: "large", Cost: 1}, now)
	}
	if decision := s.Decide(Request{Workspace: "large", Cost: 1}, now); !decision.OverShare {
		t.Error("a workspace with most of the requests is not over its share")
	}
}
