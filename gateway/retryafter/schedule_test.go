package retryafter

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestCallersReturnOneAfterTheOther guards against refused callers that all return at once, and against times that grow without bound.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	now := clock.Boot(time.Hour)
	s := NewSchedule()
	for i, want := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		if got := s.Next("a", 2, time.Second, now); got != want {
			t.Errorf("caller %d returns after %v, want %v", i, got, want)
		}
	}
	if got := s.Next("b", 2, 0, now); got != minWait {
		t.Errorf("the caller of another service returns after %v", got)
	}
	if got := s.Next("a", 0.01, time.Second, now); got != Max {
		t.Errorf("the last caller returns after %v", got)
	}
}
