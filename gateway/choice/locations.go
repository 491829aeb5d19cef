package choice

import (
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// KnownLocations returns the known locations of prompt parts for a VM that has just
// started, at most news.MaxPartLocations. Parts that several endpoints hold come first,
// because most requests share them.
func (t *Table) KnownLocations() []news.PartLocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	locations := t.appendLocations(nil, func(holders int) bool { return holders > 1 })
	return t.appendLocations(locations, func(holders int) bool { return holders == 1 })
}

// appendLocations appends the valid locations of the parts for whose number of holders
// wanted returns true, until there are news.MaxPartLocations. The caller holds t.mu.
func (t *Table) appendLocations(locations []news.PartLocation, wanted func(holders int) bool) []news.PartLocation {
	for part, at := range t.partIndex.current {
		if !wanted(len(at)) {
			continue
		}
		for i := range at {
			if len(locations) == news.MaxPartLocations {
				return locations
			}
			if t.partIndex.valid(&at[i]) {
				locations = append(locations, news.PartLocation{Hash: part, Endpoint: at[i].endpoint})
			}
		}
	}
	return locations
}

// RecordLocations records locations that another VM or an endpoint reported.
func (t *Table) RecordLocations(locations []news.PartLocation, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range locations {
		t.partIndex.record(at.Hash, at.Endpoint, now)
	}
}

// AnnounceLocations adds locations to the next report to other VMs, as far as
// maxAnnouncements allows.
func (t *Table) AnnounceLocations(locations []news.PartLocation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range locations {
		t.announce(at)
	}
}
