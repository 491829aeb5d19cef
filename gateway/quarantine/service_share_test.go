package quarantine

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestAnswersOfOneServiceAreNoBackgroundOfAnother guards against sound prompts in quarantine since a busy service hides
// that the endpoints of another one crash often.
func TestAnswersOfOneServiceAreNoBackgroundOfAnother(t *testing.T) {
	now := clock.Boot(time.Hour)
	l, peer := NewLedger(0), NewLedger(0)
	for i := range 1000 {
		for _, ledger := range []*Ledger{l, peer} {
			ledger.RecordAnswer("desk", []uint64{uint64(10_000 + i)}, now)
		}
	}
	for i := range 20 {
		engine := traffic.Instance{ID: fmt.Sprint("engine-", i), StartedMS: 1}
		for _, ledger := range []*Ledger{l, peer} {
			ledger.RecordCrash("assist", engine, []uint64{1, uint64(100 + i)}, now.Add(-time.Millisecond), now)
		}
	}
	var report gossip.Report
	peer.FillReport(&report, now)
	l.ApplyReport(report, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if share := l.crashShare("assist", now); share < 0.75 {
		t.Errorf("the background of the crashing service is %.2f, want at least 0.75", share)
	}
	if share := l.crashShare("desk", now); share > 0.01 {
		t.Errorf("the background of the other service is %.2f, want at most 0.01", share)
	}
}
