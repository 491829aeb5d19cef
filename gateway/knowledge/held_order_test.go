package knowledge

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// TestOlderEntryDoesNotUndoAHeldDeletion guards against an endpoint that is gone and comes back by the late answer of a VM that lags behind.
func TestOlderEntryDoesNotUndoAHeldDeletion(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
	tracker.MarkStoreLost()
	tracker.MarkStoreRestored(testStart)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 30, Items: twoEndpoints(1)[:1]}, testStart)
	lagging := Update{Era: 1, Revision: 20, DeletionsFinal: true}
	lagging.Items = append(lagging.Items, entryItem("b", traffic.Position{Era: 1, Revision: 20}, 1, 2, "ready"))
	tracker.Apply(lagging, testStart)
	readNothing(tracker, testStart.Add(time.Minute))
	wantReady(t, tracker, "a")
}
