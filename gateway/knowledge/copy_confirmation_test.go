package knowledge

import (
	"testing"
)

// TestCopyIsNotConfirmedWithoutAReadAfterTheRewrite guards against a revoked key that is accepted because the copy was read before the operator wrote again.
func TestCopyIsNotConfirmedWithoutAReadAfterTheRewrite(t *testing.T) {
	tracker := restoredTracker()
	before, _ := tracker.ConfirmedAt()
	update := copyUpdate()
	tracker.Apply(update, update.ConfirmedAt)
	tracker.MarkStoreLost(testStart)
	tracker.Expire(update.ConfirmedAt.Add(2 * rewriteTime))
	if at, _ := tracker.ConfirmedAt(); at != before {
		t.Errorf("a read of %v after the return confirms the data, though none followed", at.Sub(update.ConfirmedAt))
	}
}
