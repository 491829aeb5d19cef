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

// send is the first send of a request or a retry.
type send struct {
	at    clock.Boot
	retry bool
}

// simulate lets VMs send requests for 60 seconds. All fail and are retried up to four
// times, as far as the VMs' budgets allow. rate returns the requests per second.
func simulate(vms int, members func() (int, bool), rate func(second int) float64, seed uint64) []send {
	random := rand.New(rand.NewPCG(seed, 5))
	var budgets []*Budget
	for range vms {
		budgets = append(budgets, New(testLimits, members, testStart))
	}
	var sends []send
	now := testStart
	for now < testStart.Add(60*time.Second) {
		second := int(now.Sub(testStart) / time.Second)
		now = now.Add(time.Duration(random.ExpFloat64() / rate(second) * float64(time.Second)))
		vm := budgets[random.IntN(vms)]
		vm.RecordRequest("s", now)
		sends = append(sends, send{now, false})
		for range 4 {
			if vm.Take("s", now) {
				sends = append(sends, send{now, true})
			}
		}
	}
	return sends
}

// worstExcess returns by how much the retries of the worst window exceed the bound: the
// slack plus the ratio of the requests in that window or the one before it, whichever has
// more.
func worstExcess(sends []send) float64 {
	excess := -testSlack
	for _, end := range sends {
		requests, requestsBefore, retries := 0.0, 0.0, 0.0
		for _, s := range sends {
			switch age := end.at.Sub(s.at); {
			case age < 0 || age >= 2*testWindow:
			case age >= testWindow && !s.retry:
				requestsBefore++
			case age < testWindow && s.retry:
				retries++
			case age < testWindow:
				requests++
			}
		}
		excess = max(excess, retries-testRatio*max(requests, requestsBefore)-testSlack)
	}
	return excess
}

// TestFleetKeepsTheBudget lets all requests fail under steady load, in a burst and after
// it. No window of the whole fleet may exceed the bound.
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
			if excess := worstExcess(simulate(vms, known, rate, seed)); excess > 0 {
				t.Errorf("seed %d, %d VMs: %.1f retries too many", seed, vms, excess)
			}
		}
	}
}

// TestUnknownFleetTakesTheSmallShare lets sixteen VMs send that have not heard of each
// other. Together they must stay within the allowance.
func TestUnknownFleetTakesTheSmallShare(t *testing.T) {
	unknown := func() (int, bool) { return 1, false }
	rate := func(int) float64 { return 20 }
	if excess := worstExcess(simulate(assumedFleetSize, unknown, rate, 1)); excess > 0 {
		t.Errorf("%.1f retries too many", excess)
	}
}

// TestRetriesAreAllowedAtAll checks that the budget of a VM that runs for a while allows the
// retries of a moderate failure rate: one request in seven.
func TestRetriesAreAllowedAtAll(t *testing.T) {
	b := New(testLimits, func() (int, bool) { return 7, true }, testStart.Add(-testWindow))
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

// TestRetriesAreAllowedAfterAStart checks that a VM that has just started may retry one request in
// thirty, and as many as any other VM from a window after its start on.
func TestRetriesAreAllowedAfterAStart(t *testing.T) {
	b := New(testLimits, func() (int, bool) { return 7, true }, testStart)
	allowed := map[bool]int{}
	for i := range 200 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		b.RecordRequest("s", now)
		running := now.Sub(testStart) >= testWindow
		if (i%30 == 29 || running && i%7 == 0) && b.Take("s", now) {
			allowed[running]++
		}
	}
	if allowed[false] != 3 || allowed[true] < 15 {
		t.Errorf("%d of 3 retries were allowed in the first window, %d of at least 15 in the second", allowed[false], allowed[true])
	}
}
