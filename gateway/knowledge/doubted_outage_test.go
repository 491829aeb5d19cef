package knowledge

import (
	"testing"
	"time"
)

// TestDoubtedEntryIsNotAcceptedWithoutTheStore guards against requests to a draining endpoint after a VM without the store heard of a new era and nothing since.
func TestDoubtedEntryIsNotAcceptedWithoutTheStore(t *testing.T) {
	tracker := restoredTracker()
	tracker.MarkStoreLost(testStart)
	update := copyUpdate()
	update.DeletionsFinal = true
	tracker.Apply(update, update.ConfirmedAt)
	wantReady(t, tracker, "late", "ready")
	tracker.Expire(update.ConfirmedAt.Add(time.Minute))
	for _, id := range []string{"draining", "gone"} {
		if endpoint := tracker.Snapshot().Endpoints[id]; endpoint != nil && !endpoint.Draining {
			t.Errorf("%s gets requests again, though nobody has read the store since the copy", id)
		}
	}
}
