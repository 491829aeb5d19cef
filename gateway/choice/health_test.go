package choice

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestEachChangeOfHealthIsToldOnce plays silences, failures and answers of one
// endpoint and expects one change for each turn, with the time it lasted.
func TestEachChangeOfHealthIsToldOnce(t *testing.T) {
	known := &state{}
	now := clock.Boot(time.Hour)
	steps := []struct {
		silent, failed bool
		after          time.Duration
		want           healthChange
		lasted         time.Duration
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
		if step.silent {
			known.silence(now)
		} else {
			known.silent = 0
		}
		known.outcome(step.failed, now)
		if change, lasted := known.turn(now); change != step.want || lasted != step.lasted {
			t.Errorf("step %d: change %d after %v, want %d after %v; %.2f failed", i, change, lasted, step.want, step.lasted, known.faults)
		}
	}
}
