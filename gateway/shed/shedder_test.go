package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// load is a mix of requests that reaches one VM, and endpoints that take a number of
// them each second.
type load struct {
	t        *testing.T
	shedder  *Shedder
	random   *rand.Rand
	now      clock.Boot
	capacity float64
	room     float64
	// asked and served count the requests by source.
	asked  map[string]int
	served map[string]int
}

// source is one workspace's requests of one priority, in each second.
type source struct {
	name      string
	workspace string
	priority  int
	rate      int
}

func newLoad(t *testing.T, capacity float64) *load {
	return &load{
		t: t, shedder: New(), random: rand.New(rand.NewPCG(5, 7)), now: clock.Boot(time.Hour), capacity: capacity,
	}
}

// play sends the sources' requests for a time and returns the part of each that was
// served.
func (l *load) play(seconds int, sources ...source) map[string]float64 {
	l.asked, l.served = map[string]int{}, map[string]int{}
	for range seconds {
		var second []source
		for _, one := range sources {
			for range one.rate {
				second = append(second, one)
			}
		}
		l.random.Shuffle(len(second), func(a, b int) { second[a], second[b] = second[b], second[a] })
		for _, one := range second {
			l.ask(one, time.Second/time.Duration(len(second)))
		}
	}
	shares := map[string]float64{}
	for name, asked := range l.asked {
		shares[name] = float64(l.served[name]) / float64(asked)
	}
	return shares
}

// ask sends one request; endpoints that are full turn it away.
func (l *load) ask(one source, pause time.Duration) {
	l.now = l.now.Add(pause)
	l.room = min(l.capacity/4, l.room+l.capacity*pause.Seconds())
	l.asked[one.name]++
	occupancy := 0.3
	if l.room < 1 {
		occupancy = 1.1
	}
	decision := l.shedder.Decide(Request{
		Workspace: one.workspace, Priority: one.priority, Cost: 1, Draw: l.random.Uint64(), Occupancy: max(occupancy, leastOccupancy),
	}, l.now)
	switch {
	case decision.Refused:
	case l.room < 1:
		l.shedder.RecordRejected(l.now)
	default:
		l.room--
		l.served[one.name]++
	}
}

// even are three workspaces that ask for the same, each half urgent.
var even = []source{
	{"urgent", "a", 0, 10}, {"urgent", "b", 0, 10}, {"urgent", "c", 0, 10},
	{"other", "a", 2, 10}, {"other", "b", 2, 10}, {"other", "c", 2, 10},
}

func TestNothingIsRefusedWithRoom(t *testing.T) {
	for name, share := range newLoad(t, 80).play(30, even...) {
		if share < 1 {
			t.Errorf("%s: %.3f served", name, share)
		}
	}
}

// TestUrgentGoFirstAndNobodyStarves asks for twice of what there is.
func TestUrgentGoFirstAndNobodyStarves(t *testing.T) {
	shares := newLoad(t, 30).play(60, even...)
	if shares["urgent"] < shares["other"]+0.05 {
		t.Errorf("urgent requests are not served more often: %v", shares)
	}
	if shares["other"] < 0.25*0.5 {
		t.Errorf("the others starve: %v", shares)
	}
}

// TestFloodIsRefusedFirst lets one workspace ask for ten times what there is.
func TestFloodIsRefusedFirst(t *testing.T) {
	small := []source{{"small", "a", 2, 2}, {"small", "b", 2, 2}, {"small", "c", 2, 2}, {"small", "d", 2, 2}, {"small", "e", 2, 2}}
	l := newLoad(t, 20)
	shares := l.play(60, append(small, source{"flood", "f", 0, 200})...)
	if shares["small"] < 0.75 {
		t.Errorf("small workspaces suffer from the flood: %v", shares)
	}
	if shares["flood"] < 0.25*20/210 {
		t.Errorf("the flood starves: %v", shares)
	}
	if total := l.served["small"] + l.served["flood"]; total < 60*20*9/10 {
		t.Errorf("only %d requests were served of %d that could be", total, 60*20)
	}
}

// recovery is the time after which all must be served again: the users' shortest bound
// for that.
const recovery = 12

// TestRefusalsEndWithTheLoad lets endpoints take all requests again.
func TestRefusalsEndWithTheLoad(t *testing.T) {
	l := newLoad(t, 15)
	l.play(30, even...)
	l.capacity = 100
	l.play(recovery, even...)
	for name, share := range l.play(20, even...) {
		if share < 1 {
			t.Errorf("%d s after the load %.3f of %s are served", recovery, share, name)
		}
	}
}

// TestRoomEndsRefusalsAtOnce asks while the excess is still known, but slots are free.
func TestRoomEndsRefusalsAtOnce(t *testing.T) {
	l := newLoad(t, 10)
	l.play(30, even...)
	for range 100 {
		decision := l.shedder.Decide(Request{Workspace: "a", Priority: 9, Cost: 1, Occupancy: leastOccupancy / 2}, l.now)
		if decision.Refused {
			t.Fatal("refused while slots are free")
		}
	}
}

// TestGoneWorkspacesAreForgotten bounds what is kept.
func TestGoneWorkspacesAreForgotten(t *testing.T) {
	s := New()
	now := clock.Boot(time.Hour)
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		s.Decide(Request{Workspace: time.Duration(i).String(), Cost: 1}, now)
	}
	if len(s.use) > 2500 {
		t.Errorf("%d workspaces are kept", len(s.use))
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

// TestLongWaitsAreRefused lets endpoints queue more than they can begin in time, while
// they turn nothing away.
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
			t.Errorf("%s: %d of 200 are refused", c.name, refused)
		}
	}
}

// TestSmallWorkspacesAreNotOver lets hundreds of workspaces send now and then: one that
// happens to send a few requests in a row is not over its share.
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
