package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestFloodLeavesOthersAlone guards against one workspace degrading the service
// of the others. It compares runs with and without one workspace sending 50
// times its load, from a light load to slightly above the fleet's capacity.
func TestFloodLeavesOthersAlone(t *testing.T) {
	for _, rate := range []float64{2, 6, 8} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			baseline := runSeeds(t, fleetLoad{rate: rate, duration: time.Minute})
			flood := runSeeds(t, fleetLoad{rate: rate, floodFactor: 50, duration: time.Minute})
			baseline.log(t, "calm")
			flood.log(t, "flood")
			compareFlood(t, &baseline, &flood)
			checkEngines(t, &flood)
		})
	}
}

// compareFlood checks that the other workspaces' refusals, attempts and refused
// tags are at most 1.2 times those of the run without the flood.
func compareFlood(t *testing.T, baseline, flood *fleetResult) {
	const maxIncrease = 1.2
	baselineRefused, baselineAttempts := baseline.others()
	floodRefused, floodAttempts := flood.others()
	if floodRefused > maxIncrease*baselineRefused {
		t.Errorf("the others' refusals rise from %.4f to %.4f", baselineRefused, floodRefused)
	}
	if floodAttempts > maxIncrease*baselineAttempts {
		t.Errorf("the others' attempts rise from %.3f to %.3f", baselineAttempts, floodAttempts)
	}
	if float64(flood.tagsRefused) > maxIncrease*float64(baseline.tagsRefused) {
		t.Errorf("the others' refused tags rise from %d to %d", baseline.tagsRefused, flood.tagsRefused)
	}
}

// checkEngines checks that no engine exceeds its cap of requests, that all
// engines get a share of the requests and that the average skew is within the
// load multiple.
func checkEngines(t *testing.T, r *fleetResult) {
	if r.peak > fleetLimits.EngineRequests {
		t.Errorf("%d requests at one engine, the cap is %d", r.peak, fleetLimits.EngineRequests)
	}
	if least := slices.Min(r.starts[:]); least*fleetEngines < r.admitted()/2 {
		t.Errorf("the engine with the fewest requests got %d of %d", least, r.admitted())
	}
	if skew := r.sumSkew / float64(r.samples); skew > fleetLimits.LoadMultiple {
		t.Errorf("the average of max/mean is %.3f", skew)
	}
}

// TestSurgeFromIdleIsNotRefused guards against refusals while capacity is free:
// an idle fleet whose load surges within one second knows its peers' loads only
// with a delay, so the known mean is too low.
func TestSurgeFromIdleIsNotRefused(t *testing.T) {
	surge := runFleet(t, 4, fleetLoad{rate: 20, duration: time.Second})
	surge.log(t, "surge")
	for w, refused := range surge.refused {
		if refused > 0 {
			t.Errorf("workspace %d: %d of %d are refused", w, refused, surge.requests[w])
		}
	}
}
