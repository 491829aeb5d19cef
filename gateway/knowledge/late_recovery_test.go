package knowledge

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/platform"
)

// TestVMThatReachesTheStoreLateDoesNotHoldNewDeletions lets a VM hear from others that the store is back, and reach it itself 4 s later.
func TestVMThatReachesTheStoreLateDoesNotHoldNewDeletions(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, ConfirmedAt: testStart, Items: twoEndpoints(1)}, testStart)
	tracker.MarkStoreLost(testStart)
	back, late := testStart.Add(time.Second), testStart.Add(5*time.Second)
	tracker.Apply(Update{Era: 1, Revision: 10, ConfirmedAt: back, Available: Availability{back, back}, DeletionsFinal: true}, back)
	tracker.Apply(Update{Era: 1, Revision: 10, ConfirmedAt: late, Available: Availability{back, late}, DeletionsFinal: true}, late)
	tracker.MarkStoreRestored(late)
	deletion := inEra(1, deletedItem("b", 11))
	tracker.Apply(Update{Era: 1, Revision: 11, ConfirmedAt: late, Items: []platform.Item{deletion}}, late)
	wantReady(t, tracker, "a")
}
