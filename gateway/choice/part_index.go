package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// maxLocationsPerPart bounds the endpoints that are remembered for one part.
	maxLocationsPerPart = 64
	// maxAnnouncedLocations is the number of recently used locations of a part from which
	// on no further ones are announced. Other VMs can copy from those that they know.
	maxAnnouncedLocations = 4
	// recentUse is how long after its last known use a location counts toward
	// maxAnnouncedLocations.
	recentUse = 20 * time.Second
	// maxParts bounds the remembered parts. The current and the previous map hold up to
	// half of them each.
	maxParts = 200_000
	// locationTTL is how long an unused location is remembered at least.
	locationTTL = 120 * time.Second
)

// location records that an endpoint holds a prompt part.
type location struct {
	endpoint string
	// sentAt is when the part was first sent there, lastUsed its last known use.
	sentAt   clock.Boot
	lastUsed clock.Boot
	// prefillDue is when the endpoint should have prefilled the part at the latest; 0 if
	// that is done or no request of this VM is waiting for it.
	prefillDue clock.Boot
	// generation is the endpoint's generation when the location was recorded.
	generation int
}

// partIndex maps prompt parts to the endpoints that hold them. It is not safe for
// concurrent use.
type partIndex struct {
	// current holds the parts used since started, previous those used only in the period
	// before it.
	current  map[uint64][]location
	previous map[uint64][]location
	// started is when current was started.
	started clock.Boot
	// generations counts the restarts of each endpoint. A restart empties its cache, so
	// locations of earlier generations are invalid.
	generations map[string]int
}

// newPartIndex returns an empty index.
func newPartIndex() *partIndex {
	return &partIndex{
		current:     map[uint64][]location{},
		previous:    map[uint64][]location{},
		generations: map[string]int{},
	}
}

// locations returns the known locations of a part, including invalid ones.
func (p *partIndex) locations(part uint64) []location {
	if locations, ok := p.current[part]; ok {
		return locations
	}
	return p.previous[part]
}

// valid reports whether the endpoint has not restarted since the location was recorded.
func (p *partIndex) valid(at *location) bool {
	return p.generations[at.endpoint] == at.generation
}

// record notes that an endpoint holds a part. It reports whether the location should be
// announced to other VMs: it is new and fewer than maxAnnouncedLocations others are in use.
func (p *partIndex) record(part uint64, endpoint string, now clock.Boot) (announce bool) {
	p.rotate(now)
	locations := p.locations(part)
	others, replace := 0, -1
	for i := range locations {
		at := &locations[i]
		valid := p.valid(at)
		switch {
		case valid && at.endpoint == endpoint:
			at.lastUsed = max(at.lastUsed, now)
			p.current[part] = locations
			return false
		case !valid:
			replace = i
		case now.Sub(at.lastUsed) < recentUse:
			others++
		}
	}
	next := location{endpoint: endpoint, sentAt: now, lastUsed: now, generation: p.generations[endpoint]}
	if replace < 0 && len(locations) == maxLocationsPerPart {
		replace = leastRecentlyUsed(locations)
	}
	if replace >= 0 {
		locations[replace] = next
	} else {
		locations = append(locations, next)
	}
	p.current[part] = locations
	return others < maxAnnouncedLocations
}

// find returns the valid location of a part at an endpoint, or nil.
func (p *partIndex) find(part uint64, endpoint string) *location {
	locations := p.locations(part)
	for i := range locations {
		if locations[i].endpoint == endpoint && p.valid(&locations[i]) {
			return &locations[i]
		}
	}
	return nil
}

// leastRecentlyUsed returns the index of the location whose last use is longest ago.
func leastRecentlyUsed(locations []location) int {
	oldest := 0
	for i := range locations {
		if locations[i].lastUsed < locations[oldest].lastUsed {
			oldest = i
		}
	}
	return oldest
}

// rotate drops the previous map and starts a new current one once locationTTL has passed
// or the current map is full. Parts that are used in between move to the current map.
func (p *partIndex) rotate(now clock.Boot) {
	if now.Sub(p.started) < locationTTL && len(p.current) < maxParts/2 {
		return
	}
	p.previous, p.current, p.started = p.current, map[uint64][]location{}, now
}

// invalidate makes all locations at a restarted endpoint invalid.
func (p *partIndex) invalidate(endpoint string) {
	p.generations[endpoint]++
}
