package knowledge

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// TestOldTombstonesAreNotToldToOthers guards against deletions that go into each answer for good when nothing is deleted any more.
func TestOldTombstonesAreNotToldToOthers(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
	tracker.Apply(Update{Era: 1, Revision: 11, Items: []platform.Item{inEra(1, deletedItem("b", 11))}}, testStart)
	later := testStart.Add(time.Hour)
	tracker.Expire(later)
	request := SyncRequest{Position: traffic.Position{Era: 1, Revision: 11}, Newest: traffic.Position{Era: 1, Revision: 11}}
	if response := tracker.SyncResponse(request, later); response.Full || len(response.Entries) > 0 {
		t.Errorf("a VM that lacks nothing is told %d entries, full %v, want none", len(response.Entries), response.Full)
	}
}
