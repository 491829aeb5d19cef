package choice

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestEachHealthChangeIsReportedOnce reports timeouts, failures and successes of one
// endpoint and expects each health change once, with the duration of the state that ended.
func TestEachHealthChangeIsReportedOnce(t *testing.T) {
	st := &state{}
	now := clock.Boot(time.Hour)
	steps := []struct {
		unreachable, failed bool
		after               time.Duration
		want                healthChange
		lasted              time.Duration
	}{
		{false, false, 0, healthSame, 0},
		{true, true, time.Second, healthLost, 0},
		{true, true, time.Second, healthSame, 0},
		{false, false, 2 * time.Second, healthRegained, 3 * time.Second},
		{false, true, time.Millisecond, healthSame, 0},
		{false, true, time.Millisecond, healthSame, 0},
		{false, true, time.Millisecond, healthFailing, 0},
		{false, true, time.Millisecond, healthSame, 0},
		{false, false, 10 * time.Second, healthServing, 10*time.Second + time.Millisecond},
		{false, false, time.Second, healthSame, 0},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		if step.unreachable {
			st.recordUnreachable(now)
		} else {
			st.unreachableCount = 0
		}
		st.recordOutcome(step.failed, now)
		if change, lasted := st.healthTransition(now); change != step.want || lasted != step.lasted {
			t.Errorf("step %d: change %d after %v, want %d after %v; %.2f failed", i, change, lasted, step.want, step.lasted, st.failureShare)
		}
	}
}
