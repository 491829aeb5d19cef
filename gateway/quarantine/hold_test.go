package quarantine

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestSecondSuccessiveCrashHoldsARequestAtOnce guards against a hold that takes effect one question late.
func TestSecondSuccessiveCrashHoldsARequestAtOnce(t *testing.T) {
	l, now := NewLedger(0), clock.Boot(time.Hour)
	parts := []uint64{ownPart}
	crashEngine(l, 0, parts, now)
	if _, found := l.Find(parts, now); found {
		t.Error("the request is held after one crash")
	}
	now = now.Add(time.Second)
	crashEngine(l, 1, parts, now)
	if q, found := l.Find(parts, now); !found || q.Until != now.Add(baseHold) {
		t.Errorf("the request is held until %v, found %v, want until %v", q.Until, found, now.Add(baseHold))
	}
	l.RecordAnswer("assist", parts, now.Add(time.Second))
	if _, found := l.Find(parts, now.Add(time.Second)); found {
		t.Error("the request is held after an answer")
	}
}
