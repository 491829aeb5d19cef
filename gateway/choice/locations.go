package choice

import (
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// KnownLocations returns the known locations of prompt parts for a VM that has just
// started, at most gossip.MaxPartLocations. Parts that several endpoints hold come first,
// because most requests share them.
func (t *Table) KnownLocations() []gossip.PartLocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	locations := t.appendLocations(nil, func(holders int) bool { return holders > 1 })
	return t.appendLocations(locations, func(holders int) bool { return holders == 1 })
}

// appendLocations appends the valid locations of the parts for whose number of holders
// wanted returns true, until there are gossip.MaxPartLocations. The caller holds t.mu.
func (t *Table) appendLocations(locations []gossip.PartLocation, wanted func(holders int) bool) []gossip.PartLocation {
	for part, at := range t.partIndex.current {
		if !wanted(len(at)) {
			continue
		}
		for i := range at {
			if len(locations) == gossip.MaxPartLocations {
				return locations
			}
			if t.partIndex.valid(&at[i]) {
				locations = append(locations, gossip.PartLocation{Hash: part, Endpoint: at[i].endpoint})
			}
		}
	}
	return locations
}

// RecordLocations records locations that another VM or an endpoint reported.
func (t *Table) RecordLocations(locations []gossip.PartLocation, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range locations {
		t.partIndex.record(at.Hash, at.Endpoint, now)
	}
}

// AnnounceLocations adds locations to the next report to other VMs, as far as
// maxAnnouncements allows.
func (t *Table) AnnounceLocations(locations []gossip.PartLocation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range locations {
		t.announce(at)
	}
}
