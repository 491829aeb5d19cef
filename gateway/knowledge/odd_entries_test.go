package knowledge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"cardamompoint.example/cardamompoint/platform"
)

// TestOddValuesDoNotTravel guards against syncs between VMs that exceed their limit for what names no endpoint.
func TestOddValuesDoNotTravel(t *testing.T) {
	source, follower := NewTracker(nil), NewTracker(nil)
	update := Update{Items: []platform.Item{endpointItem("good", 1)}, Full: true, Revision: 30}
	for i := range int64(20) {
		value := bytes.Repeat([]byte("x"), 1<<20)
		update.Items = append(update.Items, platform.Item{Key: fmt.Sprint(platform.EndpointPrefix, "odd", i), Value: value, Revision: 2 + i})
	}
	source.Apply(update, testStart)
	response := source.SyncResponse(follower.SyncRequest(), testStart)
	raw, err := json.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 64<<10 {
		t.Errorf("a sync takes %d bytes", len(raw))
	}
	received, err := response.update(testStart, testStart)
	if err != nil {
		t.Fatal(err)
	}
	follower.Apply(received, testStart)
	follower.Apply(Update{Items: []platform.Item{endpointItem("odd3", 40)}, Revision: 40}, testStart)
	if ready := follower.Snapshot().Ready["s"]; len(ready) != 2 || ready[0].ID != "good" || ready[1].ID != "odd3" {
		t.Errorf("the endpoints are %v", ready)
	}
}
