package choice

import (
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// KnownPlaces returns the known places of prompt parts, at most news.MostPlaces, for a
// VM that has just started. Parts that several endpoints hold come first, because most
// requests share them.
func (t *Table) KnownPlaces() []news.PartPlace {
	t.mu.Lock()
	defer t.mu.Unlock()
	places := t.appendPlaces(nil, func(holders int) bool { return holders > 1 })
	return t.appendPlaces(places, func(holders int) bool { return holders == 1 })
}

// appendPlaces appends the valid places of each part for whose number of holders wanted
// returns true, up to news.MostPlaces. The caller holds t.mu.
func (t *Table) appendPlaces(places []news.PartPlace, wanted func(holders int) bool) []news.PartPlace {
	for part, at := range t.partIndex.current {
		if !wanted(len(at)) {
			continue
		}
		for i := range at {
			if len(places) == news.MostPlaces {
				return places
			}
			if t.partIndex.valid(&at[i]) {
				places = append(places, news.PartPlace{Part: part, Endpoint: at[i].endpoint})
			}
		}
	}
	return places
}

// RecordPlaces records places that another VM or an endpoint reported.
func (t *Table) RecordPlaces(places []news.PartPlace, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range places {
		t.partIndex.record(at.Part, at.Endpoint, now)
	}
}

// AnnouncePlaces adds places to the next report to other VMs, as far as there is room.
func (t *Table) AnnouncePlaces(places []news.PartPlace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range places {
		t.announce(at)
	}
}
