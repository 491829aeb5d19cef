package choice

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestSharedPlacesAreToldFirst knows more places than are told at once: those of a part
// that several engines hold are among them.
func TestSharedPlacesAreToldFirst(t *testing.T) {
	const shared, holders = uint64(7), 5
	endpoints := testEndpoints(holders)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	var known []news.PartLocation
	for part := uint64(1000); part < 1000+2*news.MaxPartLocations; part++ {
		known = append(known, news.PartLocation{Hash: part, Endpoint: endpoints[part%holders].ID})
	}
	for _, endpoint := range endpoints {
		known = append(known, news.PartLocation{Hash: shared, Endpoint: endpoint.ID})
	}
	table.RecordPlaces(known, now)
	told := table.KnownPlaces()
	if len(told) != news.MaxPartLocations {
		t.Errorf("%d places are told, want %d", len(told), news.MaxPartLocations)
	}
	found := 0
	for _, at := range told {
		if at.Hash == shared {
			found++
		}
	}
	if found != holders {
		t.Errorf("%d of %d places of the shared part are told", found, holders)
	}
}
