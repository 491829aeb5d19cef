package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// planBegan is when the planned stops of the tests begin.
const planBegan = clock.Boot(time.Hour)

// TestPlanFitsIntoTheGracePeriod guards against a stop that is killed in the middle, or that cuts requests long before its end.
func TestPlanFitsIntoTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 30 * time.Second} {
		plan := planShutdown(planBegan, grace, defaultLinger)
		if grace == 0 {
			grace = defaultGracePeriod
		}
		linger, end := plan.lingerEnd.Sub(planBegan), plan.end.Sub(planBegan)
		if end >= grace || end < grace*5/6 || linger > defaultLinger || linger > end/2 {
			t.Errorf("grace %v: linger %v, end %v", grace, linger, end)
		}
		if grace >= 6*time.Second && (linger != defaultLinger || end != grace-shutdownMargin) {
			t.Errorf("grace %v: linger %v, end %v", grace, linger, end)
		}
	}
}

// TestWhichRequestsAStoppingVMTakes guards against a rule that cuts work that may not be repeated, or refuses what could be served.
func TestWhichRequestsAStoppingVMTakes(t *testing.T) {
	plan := planShutdown(planBegan, 8*time.Second, defaultLinger)
	for _, c := range []struct {
		name           string
		arrived, after time.Duration
		left           time.Duration
		repeatable     bool
		elsewhere      bool
		expected       time.Duration
		want           bool
	}{
		{"ends in time", 0, 0, 2500 * time.Millisecond, false, true, 0, true},
		{"ends in time, late", 4800 * time.Millisecond, 4800 * time.Millisecond, 2500 * time.Millisecond, false, true, 0, true},
		{"ends too late", 5 * time.Second, 5 * time.Second, 2500 * time.Millisecond, false, true, 0, false},
		{"may end too late and can't be repeated", 0, 0, 15 * time.Second, false, true, 0, false},
		{"can't be repeated, but others stop too", 0, 0, 15 * time.Second, false, false, 0, true},
		{"may be resumed", 0, 0, 15 * time.Second, true, true, 0, true},
		{"may be resumed, last moment", defaultLinger, defaultLinger, 15 * time.Second, true, true, 0, true},
		{"may be resumed, waited", 2500 * time.Millisecond, 2900 * time.Millisecond, 15 * time.Second, true, true, 0, true},
		{"may be resumed, waited for long", 2500 * time.Millisecond, 3100 * time.Millisecond, 15 * time.Second, true, true, 0, false},
		{"may be resumed, late", 2700 * time.Millisecond, 2700 * time.Millisecond, 15 * time.Second, true, false, 0, false},
		{"has no timeout", 2700 * time.Millisecond, 2700 * time.Millisecond, 0, false, false, 0, false},
		{"arrived before the stop and waited", -time.Second, 100 * time.Millisecond, 14 * time.Second, false, true, 0, false},
		{"can't be repeated, but is expected to end in time", 2 * time.Second, 2 * time.Second, 15 * time.Second, false, true, 3 * time.Second, true},
		{"can't be repeated and is expected to end too late", 2 * time.Second, 2 * time.Second, 15 * time.Second, false, true, 6 * time.Second, false},
		{"is expected to end in time, but came late", 2700 * time.Millisecond, 2700 * time.Millisecond, 15 * time.Second, false, true, time.Second, false},
	} {
		request := startingRequest{arrived: planBegan.Add(c.arrived), timeLeft: c.left, bounded: c.left > 0, repeatable: c.repeatable, elsewhere: c.elsewhere, expected: c.expected}
		if got := plan.allows(request, planBegan.Add(c.after)); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestNoAllowedRequestIsCutUnlessItMayBeRepeated guards against combinations of times that the cases above leave out.
func TestNoAllowedRequestIsCutUnlessItMayBeRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, from, to int64) time.Duration {
			return time.Duration(rapid.Int64Range(from, to).Draw(t, name)) * time.Millisecond
		}
		plan := planShutdown(planBegan, draw("grace", 1, 60_000), defaultLinger)
		now := planBegan.Add(draw("now", 0, 60_000))
		request := startingRequest{
			arrived: now.Add(-draw("waited", 0, 10_000)), timeLeft: draw("left", -10, 60_000),
			bounded: rapid.Bool().Draw(t, "bounded"), repeatable: rapid.Bool().Draw(t, "repeatable"), elsewhere: rapid.Bool().Draw(t, "elsewhere"),
		}
		if !plan.allows(request, now) {
			return
		}
		ends := request.bounded && now.Add(request.timeLeft) < plan.end
		if !ends && (now > plan.lingerEnd.Add(startSlack) || !request.repeatable && request.elsewhere) {
			t.Fatalf("%+v is allowed at %v", request, now.Sub(planBegan))
		}
	})
}
