package choice

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestLocationsOfSharedPartsComeFirst records more locations than KnownLocations returns.
// All locations of a part that several engines hold must be among those returned.
func TestLocationsOfSharedPartsComeFirst(t *testing.T) {
	const shared, holders = uint64(7), 5
	endpoints := testEndpoints(holders)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	var known []gossip.PartLocation
	for part := uint64(1000); part < 1000+2*gossip.MaxPartLocations; part++ {
		known = append(known, gossip.PartLocation{Hash: part, Endpoint: endpoints[part%holders].ID})
	}
	for _, endpoint := range endpoints {
		known = append(known, gossip.PartLocation{Hash: shared, Endpoint: endpoint.ID})
	}
	table.RecordLocations(known, now)
	returned := table.KnownLocations()
	if len(returned) != gossip.MaxPartLocations {
		t.Errorf("%d locations returned, want %d", len(returned), gossip.MaxPartLocations)
	}
	found := 0
	for _, at := range returned {
		if at.Hash == shared {
			found++
		}
	}
	if found != holders {
		t.Errorf("%d of %d locations of the shared part returned", found, holders)
	}
}
