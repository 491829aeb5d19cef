package quarantine

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// reportedAnswers returns the answered parts that a ledger's next report tells.
func reportedAnswers(l *Ledger, now clock.Boot) []gossip.AnsweredPart {
	var report gossip.Report
	l.FillReport(&report, now)
	return report.AnsweredParts
}

// TestAnswerKnownBeforeTheCrashIsHeardIsTold lets a VM hear of a crash one of whose parts it saw
// answered since. Others must hear that, though nothing is known of the request's own part.
func TestAnswerKnownBeforeTheCrashIsHeardIsTold(t *testing.T) {
	now := clock.Boot(time.Hour)
	observer, other := NewLedger(0), NewLedger(0)
	crashEngine(observer, 1, []uint64{sharedPart, ownPart}, now)
	now = now.Add(100 * time.Millisecond)
	other.RecordAnswer("assist", []uint64{sharedPart, ownPart + 1}, now)
	var report gossip.Report
	observer.FillReport(&report, now)
	other.ApplyReport(report, now)
	if told := reportedAnswers(other, now); len(told) != 1 || told[0].Part != sharedPart {
		t.Errorf("answers to %v are told, want that to the shared part", told)
	}
}

// TestAnswersThatClearNothingAreNotTold lets a part be answered again and again after the answer that
// cleared it. Reports have no room for that while other parts are suspected.
func TestAnswersThatClearNothingAreNotTold(t *testing.T) {
	l, now := NewLedger(0), clock.Boot(time.Hour)
	crashEngine(l, 1, []uint64{sharedPart, ownPart}, now)
	for range 20 {
		now = now.Add(time.Second)
		l.RecordAnswer("assist", []uint64{sharedPart, ownPart + 1}, now)
	}
	if told := reportedAnswers(l, now); len(told) != 0 {
		t.Errorf("answers to %v are told, want none", told)
	}
}
