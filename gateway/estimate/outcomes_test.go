package estimate

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestFadedOutcomesAreNextToNothing guards against recent outcomes that a report leaves out.
func TestFadedOutcomesAreNextToNothing(t *testing.T) {
	const count = 1000
	start := clock.Boot(time.Hour)
	outcomes := NewOutcomes(count, 0, 1, start)
	if now := start.Add(10 * HalfLife); outcomes.Faded(now) {
		t.Errorf("%v of %d are left, want them not to be faded", outcomes.AsOf(now).Total(), count)
	}
	now := start.Add(fadedAfter + time.Millisecond)
	if left := outcomes.AsOf(now).Total(); !outcomes.Faded(now) || left > count/1e6 {
		t.Errorf("%v of %d are left, faded: %v, want less than a millionth, and faded", left, count, outcomes.Faded(now))
	}
}
