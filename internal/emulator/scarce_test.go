package emulator

import "testing"

// TestScarceCapacityGoesToAnswersInTime plays bursts and an overload of kinds that differ in work. It guards against a
// lower value in time than the ranking by priority and share alone had (on the same seeds), and against kinds,
// large requests, workspaces or failure domains that starve or go before a more urgent kind.
func TestScarceCapacityGoesToAnswersInTime(t *testing.T) {
	const seeds = 6
	for i, before := range []float64{0.915, 0.981, 0.591} {
		worth, withLate, served, name := 0.0, 0.0, map[string]float64{}, ""
		for seed := range uint64(seeds) {
			result := Simulate(ScarceScenarios(seed + 1)[i], &GatewayPolicy{})
			name, worth, withLate = result.Scenario, worth+result.WorthInTime()/seeds, withLate+result.Worth()/seeds
			check := func(what string, shares Shares, minimum float64) {
				if shares.Served < minimum {
					t.Errorf("%s, seed %d: %.3f of %s served, want %.3f", name, seed+1, shares.Served, what, minimum)
				}
			}
			for _, kind := range result.kinds {
				share := result.Kind(kind.Name)
				served[kind.Name] += share.Served / seeds
				check(kind.Name, share, minServedRatio*result.All().Served)
				check("the largest of "+kind.Name, result.Largest(kind.Name), share.Served/2)
			}
			for workspace := range workspaces {
				check("a workspace", result.Workspace(workspace), minServedRatio*result.All().Served)
			}
			check("a failure domain", result.WorstDomain(), minServedRatio*result.All().Served)
		}
		t.Logf("%s: %.3f of the value in time, %.3f with late answers; served %.3v", name, worth, withLate, served)
		if worth < before {
			t.Errorf("%s: %.3f of the value in time, %.3f before", name, worth, before)
		}
		if served["chat"] < served["tag"]-orderTolerance || served["tag"] < served["plan"]-orderTolerance {
			t.Errorf("%s: an urgent kind is served less often than another: %v", name, served)
		}
	}
}
