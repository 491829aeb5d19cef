package once

import "testing"

func TestModelFindsNoDoubleRun(t *testing.T) {
	for _, s := range []scenario{threeRouters, oneReplaced, grown, swapped} {
		s.rule = soundRule
		states, doubled := explore(&s)
		t.Logf("%s: %d states, doubled=%t", s.name, states, doubled)
		if doubled || states >= maxModelStates {
			t.Errorf("%s: the work can run twice, or the search did not end", s.name)
		}
	}
}

func TestModelFindsTheDoubleRunOfWeakenedRules(t *testing.T) {
	oneAttempt, grownQuietly := threeRouters, grown
	oneAttempt.attempts, grownQuietly.crashes = 1, 0
	smallQuorum := oneAttempt
	smallQuorum.name, smallQuorum.quorum = "3 routers, quorum of one", half
	stale := swapped
	stale.name, stale.views = "4 routers, all replaced, a list in use that is too old", [modelRouters]int8{0, 1, 0, 1}
	weakened := []struct {
		scenario scenario
		rule     weakness
	}{
		{oneAttempt, noClearance},
		{smallQuorum, listsUnchecked},
		{oneAttempt, youngCount},
		{oneAttempt, recordAfterSend},
		{threeRouters, releaseAnyAttempt},
		{threeRouters, grantOldAttempts},
		{threeRouters, incarnationIgnored},
		{grownQuietly, processAgeCounts},
		{stale, listsUnchecked},
		// Both assumptions broken at once: the model shows what breaks then.
		{stale, soundRule},
	}
	for _, w := range weakened {
		s := w.scenario
		s.rule = w.rule
		states, doubled := explore(&s)
		t.Logf("%s, weakened by %s: %d states, doubled=%t", s.name, w.rule, states, doubled)
		if !doubled {
			t.Errorf("%s: the model misses the double run of %q", s.name, w.rule)
		}
	}
}
