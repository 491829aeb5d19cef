package choice

import (
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Places returns where prompt parts are known to be, for a VM that has just started.
// Parts that several endpoints hold come first: they are shared by most requests.
func (t *Table) KnownPlaces() []news.PartLocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	places := t.appendPlaces(nil, func(holders int) bool { return holders > 1 })
	return t.appendPlaces(places, func(holders int) bool { return holders == 1 })
}

// appendPlaces adds the places of the parts whose number of endpoints wanted accepts. The
// caller holds the lock.
func (t *Table) appendPlaces(places []news.PartLocation, wanted func(holders int) bool) []news.PartLocation {
	for part, at := range t.parts.current {
		if !wanted(len(at)) {
			continue
		}
		for i := range at {
			if len(places) == news.MaxPartLocations {
				return places
			}
			if t.parts.valid(&at[i]) {
				places = append(places, news.PartLocation{Hash: part, Endpoint: at[i].endpoint})
			}
		}
	}
	return places
}

// Learn takes in places that another VM or an endpoint told.
func (t *Table) RecordPlaces(places []news.PartLocation, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range places {
		t.parts.note(at.Hash, at.Endpoint, now)
	}
}

// Tell lets the next reports tell other VMs of places, as far as there is room.
func (t *Table) AnnouncePlaces(places []news.PartLocation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range places {
		t.tell(at)
	}
}
