package choice

import (
	"slices"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// sampledReports returns the endpoints whose outcomes are in each of several reports of a VM of a large fleet, which
// has sent requests to more endpoints than one report has.
func sampledReports(reports int) [][]string {
	endpoints, now := testEndpoints(3*maxReportedOutcomes), clock.Boot(time.Hour)
	table := newTestTable(endpoints)
	for _, endpoint := range endpoints {
		table.RecordOutcome(endpoint.ID, false, now)
	}
	var sampled [][]string
	for range reports {
		report := gossip.Report{Heartbeats: []gossip.Heartbeat{{}}}
		table.FillReport(&report, now)
		var ids []string
		for _, outcomes := range report.Outcomes {
			ids = append(ids, outcomes.Endpoint)
		}
		sampled = append(sampled, ids)
	}
	return sampled
}

// TestReportsOfASeedAreTheSame guards against simulations whose results differ from run to run, because the order of a
// map chose the outcomes in a report.
func TestReportsOfASeedAreTheSame(t *testing.T) {
	first, second := sampledReports(3), sampledReports(3)
	if !slices.EqualFunc(first, second, slices.Equal[[]string]) {
		t.Errorf("the reports of two runs have outcomes of\n%v\n%v", first, second)
	}
}

// TestReportsSampleAllOutcomes guards against endpoints whose outcomes are never reported, and against one that is
// reported twice in a report.
func TestReportsSampleAllOutcomes(t *testing.T) {
	all := map[string]bool{}
	for _, ids := range sampledReports(40) {
		if unique := slices.Compact(slices.Sorted(slices.Values(ids))); len(unique) != maxReportedOutcomes {
			t.Fatalf("a report has outcomes of %d endpoints, want %d: %v", len(unique), maxReportedOutcomes, ids)
		}
		for _, id := range ids {
			all[id] = true
		}
	}
	if len(all) != 3*maxReportedOutcomes {
		t.Errorf("40 reports have outcomes of %d endpoints, want all %d", len(all), 3*maxReportedOutcomes)
	}
}
