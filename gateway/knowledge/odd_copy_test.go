package knowledge

import (
	"testing"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// TestOddEntryOfTheCopyDoesNotRemoveAnEndpoint guards against a live endpoint that is removed because the copy has the odd entry that it had overwritten.
func TestOddEntryOfTheCopyDoesNotRemoveAnEndpoint(t *testing.T) {
	tracker := NewTracker(nil)
	odd := platform.Item{Key: platform.EndpointPrefix + "a", Value: []byte(`{"service":7}`), Era: 1, Revision: 9}
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: []platform.Item{odd}}, testStart)
	written := entryItem("a", traffic.Position{Era: 1, Revision: 12}, 1, 2, "ready")
	tracker.Apply(Update{Era: 1, Revision: 12, Items: []platform.Item{written}}, testStart)
	wantReady(t, tracker, "a")
	tracker.Apply(Update{Full: true, Era: 2, Revision: 10, Items: []platform.Item{inEra(2, odd)}}, testStart)
	wantReady(t, tracker, "a")
}
