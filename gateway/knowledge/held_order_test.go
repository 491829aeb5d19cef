package knowledge

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// TestOlderEntryDoesNotUndoAHeldDeletion guards against an endpoint that is gone and comes back by the late answer of a VM that lags behind.
func TestOlderEntryDoesNotUndoAHeldDeletion(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
	tracker.MarkStoreLost(testStart)
	tracker.MarkStoreRestored(testStart)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 30, Items: twoEndpoints(1)[:1]}, testStart)
	lagging := Update{Era: 1, Revision: 20, DeletionsFinal: true}
	lagging.Items = append(lagging.Items, entryItem("b", traffic.Position{Era: 1, Revision: 20}, 1, 2, "ready"))
	tracker.Apply(lagging, testStart)
	readNothing(tracker, testStart.Add(time.Minute))
	wantReady(t, tracker, "a")
}

// TestFinalDeletionEndsTheHoldOfFollowers guards against an endpoint that followers keep after the VM that reads has removed it.
func TestFinalDeletionEndsTheHoldOfFollowers(t *testing.T) {
	reader, follower := NewTracker(nil), NewTracker(nil)
	reader.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
	learn(t, follower, reader)
	reader.MarkStoreLost(testStart)
	reader.MarkStoreRestored(testStart)
	reader.Apply(Update{Era: 1, Revision: 11, Items: []platform.Item{inEra(1, deletedItem("b", 11))}}, testStart)
	learn(t, follower, reader)
	wantReady(t, follower, "a", "b")
	readNothing(reader, testStart.Add(HoldAfterRecovery))
	learn(t, follower, reader)
	wantReady(t, follower, "a")
}

// TestFinalDeletionAtAnEarlierPositionEndsTheHold guards against an endpoint that a VM keeps since a full read held its deletion at a later position.
func TestFinalDeletionAtAnEarlierPositionEndsTheHold(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
	tracker.MarkStoreLost(testStart)
	tracker.MarkStoreRestored(testStart)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 30, Items: twoEndpoints(1)[:1]}, testStart)
	wantReady(t, tracker, "a", "b")
	tracker.Apply(Update{Era: 1, Revision: 30, Items: []platform.Item{inEra(1, deletedItem("b", 20))}, DeletionsFinal: true}, testStart)
	wantReady(t, tracker, "a")
}

// TestEndpointDoesNotComeBackAfterALaggingVMEndsItsHold guards against an endpoint that is gone and comes back by the answers of two VMs that lag behind.
func TestEndpointDoesNotComeBackAfterALaggingVMEndsItsHold(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
	tracker.MarkStoreLost(testStart)
	tracker.MarkStoreRestored(testStart)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 30, Items: twoEndpoints(1)[:1]}, testStart)
	tracker.Apply(Update{Era: 1, Revision: 20, Items: []platform.Item{inEra(1, deletedItem("b", 20))}, DeletionsFinal: true}, testStart)
	wantReady(t, tracker, "a")
	returned := entryItem("b", traffic.Position{Era: 1, Revision: 25}, 1, 2, "ready")
	tracker.Apply(Update{Era: 1, Revision: 25, Items: []platform.Item{returned}, DeletionsFinal: true}, testStart)
	wantReady(t, tracker, "a")
}
