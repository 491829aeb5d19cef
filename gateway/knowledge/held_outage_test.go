package knowledge

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// TestFollowerKeepsHeldEndpointWhileTheStoreIsAwayAgain guards against the removal of a live endpoint before any VM could read its renewed entry.
func TestFollowerKeepsHeldEndpointWhileTheStoreIsAwayAgain(t *testing.T) {
	reader, follower := NewTracker(nil), NewTracker(nil)
	all := Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1), ConfirmedAt: testStart}
	reader.Apply(all, testStart)
	follower.Apply(all, testStart)
	returned := testStart.Add(time.Second)
	reader.MarkStoreLost(testStart)
	reader.MarkStoreRestored(returned)
	expired := []platform.Item{inEra(1, deletedItem("b", 11))}
	reader.Apply(Update{Era: 1, Revision: 11, Items: expired, ConfirmedAt: returned}, returned)
	learnAt(t, follower, reader, returned)
	away := returned.Add(HoldAfterRecovery / 2)
	reader.MarkStoreLost(away)
	learnAt(t, follower, reader, away)
	later := returned.Add(2 * HoldAfterRecovery)
	reader.Expire(later)
	follower.Expire(later)
	wantReady(t, reader, "a", "b")
	wantReady(t, follower, "a", "b")
	learnAt(t, reader, follower, later)
	wantReady(t, reader, "a", "b")
}

// TestReaderKeepsHeldEndpointUntilItReadsAfterTheHold guards against a VM that removes a live endpoint before it has read whether the endpoint renewed its entry.
func TestReaderKeepsHeldEndpointUntilItReadsAfterTheHold(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1), ConfirmedAt: testStart}, testStart)
	tracker.MarkStoreLost(testStart)
	returned := testStart.Add(time.Second)
	tracker.MarkStoreRestored(returned)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 11, Items: twoEndpoints(1)[:1], ConfirmedAt: returned}, returned)
	after := returned.Add(HoldAfterRecovery)
	tracker.Expire(after)
	wantReady(t, tracker, "a", "b")
	renewed := entryItem("b", traffic.Position{Era: 1, Revision: 12}, 1, 2, "ready")
	tracker.Apply(Update{Era: 1, Revision: 12, Items: []platform.Item{renewed}, ConfirmedAt: after}, after.Add(time.Millisecond))
	tracker.Expire(after.Add(time.Second))
	wantReady(t, tracker, "a", "b")
}
