package gateway

import (
	"testing"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestOnlyTheFirstStartOfTheFleetHasTheWholeRetryBudget guards against refused retries where no process ran before, and against a budget that a restart renews.
func TestOnlyTheFirstStartOfTheFleetHasTheWholeRetryBudget(t *testing.T) {
	for _, firstStart := range []bool{true, false} {
		f := newTestFleet(t, 1)
		g := f.gateways[0]
		settings := *g.settings
		settings.FirstStart = firstStart
		fresh := &Gateway{settings: &settings, started: clock.Now()}
		fresh.bounds.Store(g.bounds.Load())
		known := fresh.started.Sub(fresh.retriesKnownSince()) >= fresh.retryLimits().Window
		if known != firstStart {
			t.Errorf("first start %v: the retries before are known: %v", firstStart, known)
		}
	}
}
