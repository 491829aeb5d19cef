package once

import "testing"

func TestModelFindsNoDoubleExecution(t *testing.T) {
	for _, s := range []scenario{threeRouters, oneReplaced, grown, swapped} {
		s.rule = fullRule
		states, doubled := explore(&s)
		t.Logf("%s: %d states, doubled=%t", s.name, states, doubled)
		if doubled || states >= maxModelStates {
			t.Errorf("%s: the work can be executed twice, or the search did not end", s.name)
		}
	}
}

func TestModelFindsDoubleExecutionUnderWeakenedRules(t *testing.T) {
	oneAttempt, grownQuietly := threeRouters, grown
	oneAttempt.attempts, grownQuietly.crashes = 1, 0
	smallQuorum := oneAttempt
	smallQuorum.name, smallQuorum.quorum = "3 routers, quorum of one", half
	stale := swapped
	stale.name, stale.initialViews = "4 routers, all replaced, a list in use that is too old", [modelRouters]int8{0, 1, 0, 1}
	weakenedCases := []struct {
		scenario scenario
		rule     ruleVariant
	}{
		{oneAttempt, noClearance},
		{smallQuorum, listsUnchecked},
		{oneAttempt, youngGrantersCount},
		{oneAttempt, recordAfterSend},
		{threeRouters, releaseAnyAttempt},
		{threeRouters, grantOldAttempts},
		{threeRouters, incarnationIgnored},
		{grownQuietly, processAgeCounts},
		{stale, listsUnchecked},
		// The full rule with both of its assumptions violated at once.
		{stale, fullRule},
	}
	for _, c := range weakenedCases {
		s := c.scenario
		s.rule = c.rule
		states, doubled := explore(&s)
		t.Logf("%s, weakened by %s: %d states, doubled=%t", s.name, c.rule, states, doubled)
		if !doubled {
			t.Errorf("%s: the model does not find the double execution under %q", s.name, c.rule)
		}
	}
}
