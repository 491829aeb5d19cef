package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	testRatio  = 0.2
	testSlack  = 54.0
	testWindow = 10 * time.Second
	testStart  = clock.Boot(time.Hour)
)

func testLimits() Limits {
	return Limits{Ratio: testRatio, Slack: testSlack, Window: testWindow}
}

// event is a first send or a further one.
type event struct {
	at    clock.Boot
	again bool
}

// play lets VMs send requests of which all fail and are sent again as often as
// their budgets allow. rate returns the requests per second at a time.
func play(vms int, members func() (int, bool), rate func(second int) float64, seed uint64) []event {
	random := rand.New(rand.NewPCG(seed, 5))
	var budgets []*Budget
	for range vms {
		budgets = append(budgets, New(testLimits, members))
	}
	var events []event
	now := testStart
	for now < testStart.Add(60*time.Second) {
		second := int(now.Sub(testStart) / time.Second)
		now = now.Add(time.Duration(random.ExpFloat64() / rate(second) * float64(time.Second)))
		vm := budgets[random.IntN(vms)]
		vm.RecordRequest("s", now)
		events = append(events, event{now, false})
		for range 4 {
			if vm.Take("s", now) {
				events = append(events, event{now, true})
			}
		}
	}
	return events
}

// worst returns by how much the further sends of some window exceed the bound:
// the ratio of the requests in that window or the one before, and the slack.
func worst(events []event) float64 {
	excess := -testSlack
	for _, end := range events {
		first, before, again := 0.0, 0.0, 0.0
		for _, e := range events {
			switch age := end.at.Sub(e.at); {
			case age < 0 || age >= 2*testWindow:
			case age >= testWindow && !e.again:
				before++
			case age < testWindow && e.again:
				again++
			case age < testWindow:
				first++
			}
		}
		excess = max(excess, again-testRatio*max(first, before)-testSlack)
	}
	return excess
}

// TestFleetKeepsTheBudget lets everything fail under steady load, a burst and
// its end; no window of the whole fleet exceeds the bound.
func TestFleetKeepsTheBudget(t *testing.T) {
	for seed := range uint64(3) {
		for _, vms := range []int{1, 7, 60} {
			known := func() (int, bool) { return vms, true }
			rate := func(second int) float64 {
				if second >= 20 && second < 25 {
					return 60
				}
				return 20
			}
			if excess := worst(play(vms, known, rate, seed)); excess > 0 {
				t.Errorf("seed %d, %d VMs: %.1f sends too many", seed, vms, excess)
			}
		}
	}
}

// TestUnknownFleetTakesTheSmallShare lets sixteen VMs that know of nobody share
// the allowance.
func TestUnknownFleetTakesTheSmallShare(t *testing.T) {
	unknown := func() (int, bool) { return 1, false }
	rate := func(int) float64 { return 20 }
	if excess := worst(play(unknownFleet, unknown, rate, 1)); excess > 0 {
		t.Errorf("%.1f sends too many", excess)
	}
}

// TestRetriesAreAllowedAtAll keeps the budget from being useless.
func TestRetriesAreAllowedAtAll(t *testing.T) {
	b := New(testLimits, func() (int, bool) { return 7, true })
	allowed := 0
	for i := range 100 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		b.RecordRequest("s", now)
		if i%7 == 0 && b.Take("s", now) {
			allowed++
		}
	}
	if allowed < 15 {
		t.Errorf("%d of 15 retries of one request in seven were allowed", allowed)
	}
}
