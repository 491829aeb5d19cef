package knowledge

import (
	"testing"
	"time"
)

// TestRestartedVMDoesNotConfirmTheCopyForOthers guards against a revoked key that is accepted because a VM without an earlier era reads the copy.
func TestRestartedVMDoesNotConfirmTheCopyForOthers(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, running *Tracker) *Tracker{
		"reads the store": func(*testing.T, *Tracker) *Tracker { return NewTracker(nil) },
		"asked the running VM before": func(t *testing.T, running *Tracker) *Tracker {
			restarted := NewTracker(nil)
			learn(t, restarted, running)
			return restarted
		},
	} {
		running := restoredTracker()
		before, _ := running.ConfirmedAt()
		update := copyUpdate()
		running.Apply(update, update.ConfirmedAt)
		restarted := start(t, running)
		restarted.Apply(update, update.ConfirmedAt)
		learnAt(t, running, restarted, update.ConfirmedAt.Add(time.Millisecond))
		if at, _ := running.ConfirmedAt(); at != before {
			t.Errorf("%s: the copy counts as confirmed %v after the return, want not before %v", name, at.Sub(update.ConfirmedAt), rewriteTime)
		}
	}
}
