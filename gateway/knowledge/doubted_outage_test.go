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

// TestDoubtLastsLongerAfterAnOutageThatOnlyAVMWithoutDoubtSaw guards against an endpoint that is gone and is used again, as its entry could not expire in an outage.
func TestDoubtLastsLongerAfterAnOutageThatOnlyAVMWithoutDoubtSaw(t *testing.T) {
	reader, follower := NewTracker(nil), restoredTracker()
	reader.Apply(copyUpdate(), testStart)
	follower.Apply(copyUpdate(), testStart)
	reader.MarkStoreLost(testStart.Add(3 * time.Second))
	learnAt(t, follower, reader, testStart.Add(3*time.Second))
	back := testStart.Add(4 * time.Second)
	reader.MarkStoreRestored(back)
	learnAt(t, follower, reader, back)
	readNothing(follower, back.Add(HoldAfterRecovery+defaultEntryLifetime-time.Millisecond))
	wantReady(t, follower, "ready")
	readNothing(follower, back.Add(HoldAfterRecovery+defaultEntryLifetime))
	wantReady(t, follower, "draining", "gone", "ready")
}
