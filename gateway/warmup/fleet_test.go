package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// The published bound on the requests to a cold endpoint: 20 in any second.
const (
	coldPerSecond = 10.0
	coldTime      = 3 * time.Second
	maxPerSecond  = 20
)

var testBounds = Bounds{Excess: 1.5, Slack: 5}

// fleet simulates VMs that send to one endpoint, which is cold at first.
type fleet struct {
	now      clock.Boot
	random   *rand.Rand
	limiters []*Limiter
	// known is the number of VMs that each VM knows, itself included.
	known    []int
	endpoint *traffic.Endpoint
	sent     []clock.Boot
}

func newFleet(vms int, seed uint64) *fleet {
	f := &fleet{now: clock.Boot(time.Hour), random: rand.New(rand.NewPCG(seed, 9)), known: make([]int, vms)}
	f.endpoint = &traffic.Endpoint{ID: "e", Service: "s", FailureDomain: "d", Slots: 64, WarmUpLeft: coldTime, Position: traffic.Position{Revision: 1}}
	for vm := range vms {
		f.known[vm] = vms
		f.start(vm)
	}
	return f
}

// start starts a VM that has sent nothing.
func (f *fleet) start(vm int) {
	limiter := New(func() int { return f.known[vm] }, func() Bounds { return testBounds }, f.random.Uint64())
	limiter.Update(f.snapshot(), f.now)
	if vm == len(f.limiters) {
		f.limiters = append(f.limiters, nil)
	}
	f.limiters[vm] = limiter
}

func (f *fleet) snapshot() *knowledge.Snapshot {
	return &knowledge.Snapshot{
		Configuration: &traffic.Configuration{Services: map[string]*traffic.Service{"s": {Name: "s", WarmUpTime: coldTime, WarmUpRate: coldPerSecond}}},
		Endpoints:     map[string]*traffic.Endpoint{"e": f.endpoint},
	}
}

// writeEntry writes an entry of the endpoint, which the first VM reads at once. left is how long the endpoint stays cold.
func (f *fleet) writeEntry(left time.Duration) {
	next := *f.endpoint
	next.WarmUpLeft = left
	next.Position.Revision++
	f.endpoint = &next
	f.limiters[0].Update(f.snapshot(), f.now)
}

// evacuate evacuates the endpoint's failure domain for the first VM and ends the evacuation at once.
func (f *fleet) evacuate() {
	evacuated := f.snapshot()
	evacuated.Evacuated = map[string]knowledge.Evacuation{"d": {FailureDomain: "d"}}
	f.limiters[0].Update(evacuated, f.now)
	f.limiters[0].Update(f.snapshot(), f.now)
}

// run lets each VM send whenever it may while wants returns true.
func (f *fleet) run(duration time.Duration, wants func(vm int) bool) {
	for end := f.now.Add(duration); f.now < end; f.now = f.now.Add(10 * time.Millisecond) {
		for vm, limiter := range f.limiters {
			if wants(vm) && limiter.Allows(f.endpoint, f.now) {
				limiter.Take(f.endpoint, f.now)
				f.sent = append(f.sent, f.now)
			}
		}
	}
}

// maxPerSecond returns the largest number of requests in one second.
func (f *fleet) maxPerSecond() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func always(int) bool { return true }

// TestFleetKeepsTheRateOfColdEndpoints guards against more requests than a cold endpoint takes: from VMs that all want to
// send, that begin at the same moment, that start anew, that are cut off or that know only some of the others.
func TestFleetKeepsTheRateOfColdEndpoints(t *testing.T) {
	for name, play := range map[string]func(f *fleet){
		"steady": func(f *fleet) { f.run(coldTime, always) },
		"all at the end": func(f *fleet) {
			f.run(coldTime-time.Second, func(int) bool { return false })
			f.run(time.Second, always)
		},
		"waves": func(f *fleet) {
			f.run(coldTime, func(int) bool { return f.now.Sub(0)%(700*time.Millisecond) < 100*time.Millisecond })
		},
		"half start anew": func(f *fleet) {
			f.run(time.Second, always)
			for vm := range len(f.limiters) / 2 {
				f.known[vm] = 300
				f.start(vm)
			}
			f.run(time.Second, always)
			for vm := range f.known {
				f.known[vm] = len(f.known)
			}
			f.run(time.Second, always)
		},
		"some know a tenth less": func(f *fleet) {
			for vm := range f.known {
				f.known[vm] -= vm % 2 * len(f.known) / 10
			}
			f.run(coldTime, always)
		},
	} {
		for _, vms := range []int{7, 60, 112, 300} {
			exceeded, most := 0, 0
			for seed := range uint64(20) {
				f := newFleet(vms, seed)
				play(f)
				most = max(most, f.maxPerSecond())
				if f.maxPerSecond() > maxPerSecond {
					exceeded++
				}
			}
			t.Logf("%s, %d VMs: at most %d in a second", name, vms, most)
			if exceeded > 0 {
				t.Errorf("%s, %d VMs: more than %d requests in a second in %d of 20 plays, at most %d", name, vms, maxPerSecond, exceeded, most)
			}
		}
	}
}

// TestColdEndpointIsUsed guards against a cold endpoint that hardly gets anything, or stays limited when it is warm.
func TestColdEndpointIsUsed(t *testing.T) {
	for _, vms := range []int{1, 7, 60, 112, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			f := newFleet(vms, 3)
			f.run(coldTime, always)
			if got, want := float64(len(f.sent)), 0.6*coldPerSecond*coldTime.Seconds(); got < want {
				t.Errorf("%.0f requests in %v, want %.0f", got, coldTime, want)
			}
			if f.limiters[0].AnyCold(f.now) || !f.limiters[0].Allows(f.endpoint, f.now) {
				t.Error("the warm endpoint is limited")
			}
		})
	}
}

// TestEndpointTurnsColdAgain guards against an endpoint that counts as warm although a new entry, or the end of an
// evacuation, shows that it is not, and against one that counts as cold for longer than its entries state.
func TestEndpointTurnsColdAgain(t *testing.T) {
	f := newFleet(60, 1)
	check := func(step string, want time.Duration) {
		t.Helper()
		if left := coldLeft(f); left != want {
			t.Errorf("%s: cold for %v, want %v", step, left, want)
		}
	}
	check("started", coldTime)
	f.now = f.now.Add(time.Second)
	f.writeEntry(2500 * time.Millisecond)
	check("late entry", 2*time.Second)
	f.writeEntry(time.Second)
	check("early entry", time.Second)
	f.now = f.now.Add(2 * time.Second)
	check("warm", 0)
	f.writeEntry(0)
	f.writeEntry(coldTime)
	check("cold again", coldTime)
	f.writeEntry(0)
	f.evacuate()
	check("evacuation ended", coldTime)
	f.writeEntry(0)
	check("warm after the evacuation", 0)
}

// TestEndpointTurnsColdAgainAsBefore guards against an endpoint that counts as warm although it turned cold again, for
// no longer than the last time, and wrote no entry in between; and against a late entry that lets it count as cold again.
func TestEndpointTurnsColdAgainAsBefore(t *testing.T) {
	for name, c := range map[string]struct {
		after, left, want time.Duration
	}{
		"as long as before":       {10 * time.Second, coldTime, coldTime},
		"shorter":                 {10 * time.Second, 2 * time.Second, 2 * time.Second},
		"again before it is warm": {2 * time.Second, coldTime, coldTime},
		"late entry":              {3200 * time.Millisecond, 700 * time.Millisecond, 0},
	} {
		f := newFleet(60, 1)
		f.now = f.now.Add(c.after)
		f.writeEntry(c.left)
		if got := coldLeft(f); got != c.want {
			t.Errorf("%s: cold for %v, want %v", name, got, c.want)
		}
	}
}

// coldLeft returns for how long the endpoint is cold for the first VM.
func coldLeft(f *fleet) time.Duration {
	if status := f.limiters[0].Status([]*traffic.Endpoint{f.endpoint}, f.now); len(status) == 1 {
		return time.Duration(status[0].LeftMS) * time.Millisecond
	}
	return 0
}

// TestSameWriteInALaterEraStatesNothingNew lets the store come back from a copy, so that all entries are listed again at
// other positions. It guards against endpoints that return from an evacuation and count as warm by an entry from before
// it, and against endpoints that count as cold by an old entry.
func TestSameWriteInALaterEraStatesNothingNew(t *testing.T) {
	f := newFleet(60, 1)
	write := func(left time.Duration, sequence, era int64) {
		next := *f.endpoint
		next.WarmUpLeft, next.StartedMS, next.Sequence, next.Position = left, 1, sequence, traffic.Position{Era: era, Revision: sequence}
		f.endpoint = &next
		f.limiters[0].Update(f.snapshot(), f.now)
	}
	write(coldTime, 1, 1)
	f.now = f.now.Add(time.Minute)
	write(coldTime, 1, 2)
	if got := coldLeft(f); got != 0 {
		t.Errorf("an old entry that is listed again: cold for %v", got)
	}
	write(0, 2, 2)
	f.evacuate()
	write(0, 2, 3)
	if got := coldLeft(f); got != coldTime {
		t.Errorf("after the evacuation: cold for %v, want %v", got, coldTime)
	}
}

// TestTurnsFollowTheSizeOfTheFleet guards against a VM that hardly uses cold endpoints since it knew no other VM when
// they turned cold.
func TestTurnsFollowTheSizeOfTheFleet(t *testing.T) {
	f := newFleet(7, 1)
	f.known[0] = 300
	f.start(0)
	f.now = f.now.Add(countTTL)
	f.known[0] = 7
	f.run(coldTime-countTTL, func(vm int) bool { return vm == 0 })
	if got := len(f.sent); got < 2 {
		t.Errorf("the VM sent %d requests in %v", got, coldTime)
	}
}

// TestRefusedCallersReturnAtTheRateOfTurns guards against refusals of which all callers return at the same moment, and
// against refusals while an endpoint is warm.
func TestRefusedCallersReturnAtTheRateOfTurns(t *testing.T) {
	f := newFleet(10, 1)
	l := f.limiters[0]
	before := time.Duration(0)
	for range 5 {
		after, limited := l.RetryAfter("s", []*traffic.Endpoint{f.endpoint}, f.now)
		if !limited || after <= before {
			t.Errorf("retry after %v, %v; before %v", after, limited, before)
		}
		before = after
	}
	warm := &traffic.Endpoint{ID: "warm", Service: "s"}
	if after, limited := l.RetryAfter("s", []*traffic.Endpoint{f.endpoint, warm}, f.now); limited {
		t.Errorf("retry after %v although an endpoint is warm", after)
	}
}

// BenchmarkAllows measures what one choice asks of the Limiter for an endpoint, while it is cold.
func BenchmarkAllows(b *testing.B) {
	f := newFleet(1, 1)
	for b.Loop() {
		f.limiters[0].Allows(f.endpoint, f.now)
	}
}
