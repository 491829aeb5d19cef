package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Parts of the prompts of these tests.
const (
	sharedPart = uint64(1)
	ownPart    = uint64(100)
)

// crashEngine records that a request with the given parts was sent to an engine and crashed it.
func crashEngine(l *Ledger, number int, parts []uint64, at clock.Boot) {
	engine := traffic.Instance{ID: fmt.Sprint("engine-", number), StartedMS: 1}
	l.RecordAnswering("assist", at.Add(-60*time.Millisecond))
	l.RecordCrash("assist", engine, parts, at.Add(-50*time.Millisecond), at)
}

// TestRepeatedRequestIsQuarantinedAlone repeats a request that crashes engines while its other part is
// answered: only the request itself is refused.
func TestRepeatedRequestIsQuarantinedAlone(t *testing.T) {
	l, now := NewLedger(0), clock.Boot(time.Hour)
	for i := range minCrashes {
		crashEngine(l, i, []uint64{sharedPart, ownPart}, now)
		l.RecordAnswer("assist", []uint64{sharedPart, ownPart + 1}, now.Add(300*time.Millisecond))
		now = now.Add(time.Second)
	}
	if _, found := l.Find([]uint64{sharedPart, ownPart}, now); !found {
		t.Error("the request is not in quarantine")
	}
	if _, found := l.Find([]uint64{sharedPart, ownPart + 2}, now); found {
		t.Error("another request with its shared part is in quarantine")
	}
}

// TestSharedPartIsSuspectedBeforeRepeats repeats a request of which no part is answered: the part that other
// requests share is refused with any of them.
func TestSharedPartIsSuspectedBeforeRepeats(t *testing.T) {
	l, now := NewLedger(0), clock.Boot(time.Hour)
	for i := range minCrashes {
		crashEngine(l, i, []uint64{sharedPart, ownPart}, now)
		now = now.Add(time.Second)
	}
	q, found := l.Find([]uint64{sharedPart, ownPart + 1}, now)
	if !found || !slices.Equal(q.Parts, []uint64{sharedPart}) {
		t.Errorf("quarantine of %v, found %v, want the shared part alone", q.Parts, found)
	}
}
