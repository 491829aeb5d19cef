package gateway

import "testing"

// TestFirstAttemptIsNoRetryAfterAHandover guards against first attempts that are counted as retries, as another one began before they ended.
func TestFirstAttemptIsNoRetryAfterAHandover(t *testing.T) {
	c := &call{attempts: 2}
	for number, want := range map[int]string{1: "first", 2: "retry"} {
		if got := (&exchange{call: c, number: number}).attemptLabel(); got != want {
			t.Errorf("attempt %d is a %s one, want %s", number, got, want)
		}
	}
}
