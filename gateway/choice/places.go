package choice

import (
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// KnownPlaces returns the known places of prompt parts, at most news.MaxPartLocations, for a
// VM that has just started. Parts that several endpoints hold come first, because most
// requests share them.
func (t *Table) KnownPlaces() []news.PartLocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	places := t.appendPlaces(nil, func(holders int) bool { return holders > 1 })
	return t.appendPlaces(places, func(holders int) bool { return holders == 1 })
}

// appendPlaces appends the valid places of each part for whose number of holders wanted
// returns true, up to news.MaxPartLocations. The caller holds t.mu.
func (t *Table) appendPlaces(places []news.PartLocation, wanted func(holders int) bool) []news.PartLocation {
	for part, at := range t.partIndex.current {
		if !wanted(len(at)) {
			continue
		}
		for i := range at {
			if len(places) == news.MaxPartLocations {
				return places
			}
			if t.partIndex.valid(&at[i]) {
				places = append(places, news.PartLocation{Hash: part, Endpoint: at[i].endpoint})
			}
		}
	}
	return places
}

// RecordPlaces records places that another VM or an endpoint reported.
func (t *Table) RecordPlaces(places []news.PartLocation, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range places {
		t.partIndex.record(at.Hash, at.Endpoint, now)
	}
}

// AnnouncePlaces adds places to the next report to other VMs, as far as there is room.
func (t *Table) AnnouncePlaces(places []news.PartLocation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range places {
		t.announce(at)
	}
}
