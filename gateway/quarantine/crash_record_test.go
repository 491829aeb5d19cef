package quarantine

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestExplainedCrashesAreNoBackground records three crashes of which a quarantine explains two.
func TestExplainedCrashesAreNoBackground(t *testing.T) {
	now := clock.Boot(time.Hour)
	first, second, third := traffic.Instance{ID: "e1"}, traffic.Instance{ID: "e2"}, traffic.Instance{ID: "e3"}
	r := newCrashRecord(map[traffic.Instance]clock.Boot{first: now, second: now, third: now})
	if share := r.unexplainedShare(now); share != 1 {
		t.Errorf("a share of %v is unexplained before a quarantine, want 1", share)
	}
	r.explain(map[traffic.Instance]bool{first: true, third: true})
	if share := r.unexplainedShare(now); share < 0.33 || share > 0.34 {
		t.Errorf("a share of %v is unexplained, want a third", share)
	}
	if count := r.simultaneous(now, map[traffic.Instance]bool{second: true}); count != 1 {
		t.Errorf("%d unexplained crashes at once, want 1", count)
	}
}

// TestReportsTellOfCrashesUnderAnsweredRequests lets an engine crash under a request that is answered
// elsewhere before the next report. Others must hear that the engine ended.
func TestReportsTellOfCrashesUnderAnsweredRequests(t *testing.T) {
	now := clock.Boot(time.Hour)
	engine := traffic.Instance{ID: "e1", StartedMS: 1}
	observer, other := NewLedger(0), NewLedger(0)
	observer.RecordCrash("assist", engine, []uint64{1, 2}, now.Add(-100*time.Millisecond), now)
	observer.RecordAnswer("assist", []uint64{1, 2}, now.Add(100*time.Millisecond))
	now = now.Add(200 * time.Millisecond)
	var report gossip.Report
	observer.FillReport(&report, now)
	other.ApplyReport(report, now)
	if len(other.crashes) != 1 {
		t.Errorf("%d crashes are known after the report, want 1", len(other.crashes))
	}
	if len(other.observations.byKey) != 0 {
		t.Errorf("%d observations follow from an answered request, want 0", len(other.observations.byKey))
	}
}
