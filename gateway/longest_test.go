package gateway

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestLongestTimeIsForgotten guards against one slow answer that counts for ever, and against one that is forgotten at once.
func TestLongestTimeIsForgotten(t *testing.T) {
	times, now := newLongestTimes(), clock.Boot(time.Hour)
	if got := times.expected("s", now); got != 0 {
		t.Errorf("%v is expected of an unknown service", got)
	}
	times.record("s", 3*time.Second, now)
	times.record("s", time.Second, now.Add(longestMemory))
	for after, want := range map[time.Duration]time.Duration{longestMemory: 3 * time.Second, 2*longestMemory - 1: 3 * time.Second} {
		if got := times.expected("s", now.Add(after)); got != want {
			t.Errorf("%v is expected after %v, want %v", got, after, want)
		}
	}
	if got := times.expected("s", now.Add(2*longestMemory)); got != time.Second {
		t.Errorf("%v is expected after %v, want 1s", got, 2*longestMemory)
	}
	if got := times.expected("s", now.Add(5*longestMemory)); got != 0 {
		t.Errorf("%v is expected after %v of silence", got, 5*longestMemory)
	}
}
