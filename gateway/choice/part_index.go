package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// maxPlacesPerPart bounds the endpoints that are remembered for one part.
	maxPlacesPerPart = 64
	// maxAnnouncedPlaces is the number of recently used places of a part from which no
	// further ones are announced to other VMs: they can copy from those that they know.
	maxAnnouncedPlaces = 4
	// recentUse is how long after its last known use a place counts toward
	// maxAnnouncedPlaces.
	recentUse = 20 * time.Second
	// maxParts bounds the remembered parts. The current and the previous map hold up to
	// half of them each.
	maxParts = 200_000
	// placeTTL is how long an unused place is remembered at least.
	placeTTL = 120 * time.Second
)

// place records that an endpoint holds a prompt part.
type place struct {
	endpoint string
	// sentAt is when the part was first sent there, lastUsed its last known use.
	sentAt   clock.Boot
	lastUsed clock.Boot
	// prefillDue is when the endpoint should have prefilled the part at the latest; 0 if
	// that is done or no request of this VM is waiting for it.
	prefillDue clock.Boot
	// generation is the endpoint's generation at that time.
	generation int
}

// partIndex maps prompt parts to the endpoints that hold them. It is not safe for
// concurrent use.
type partIndex struct {
	current  map[uint64][]place
	previous map[uint64][]place
	started  clock.Boot
	// generations counts the restarts of each endpoint. A restart empties its cache, so
	// places of earlier generations are invalid.
	generations map[string]int
}

// newPartIndex returns an empty index.
func newPartIndex() *partIndex {
	return &partIndex{
		current:     map[uint64][]place{},
		previous:    map[uint64][]place{},
		generations: map[string]int{},
	}
}

// places returns the known places of a part, including invalid ones.
func (h *partIndex) places(part uint64) []place {
	if places, ok := h.current[part]; ok {
		return places
	}
	return h.previous[part]
}

// valid reports whether the endpoint has not restarted since the place was recorded.
func (h *partIndex) valid(at *place) bool {
	return h.generations[at.endpoint] == at.generation
}

// record notes that an endpoint holds a part. It reports whether the place should be
// announced to other VMs: it is new and fewer than maxAnnouncedPlaces others are in use.
func (h *partIndex) record(part uint64, endpoint string, now clock.Boot) (announce bool) {
	h.rotate(now)
	places := h.places(part)
	others, replace := 0, -1
	for i := range places {
		at := &places[i]
		valid := h.valid(at)
		switch {
		case valid && at.endpoint == endpoint:
			at.lastUsed = max(at.lastUsed, now)
			h.current[part] = places
			return false
		case !valid:
			replace = i
		case now.Sub(at.lastUsed) < recentUse:
			others++
		}
	}
	next := place{endpoint: endpoint, sentAt: now, lastUsed: now, generation: h.generations[endpoint]}
	if replace < 0 && len(places) == maxPlacesPerPart {
		replace = leastRecentlyUsed(places)
	}
	if replace >= 0 {
		places[replace] = next
	} else {
		places = append(places, next)
	}
	h.current[part] = places
	return others < maxAnnouncedPlaces
}

// find returns the valid place of a part at an endpoint, or nil.
func (h *partIndex) find(part uint64, endpoint string) *place {
	places := h.places(part)
	for i := range places {
		if places[i].endpoint == endpoint && h.valid(&places[i]) {
			return &places[i]
		}
	}
	return nil
}

// leastRecentlyUsed returns the index of the place whose last use is longest ago.
func leastRecentlyUsed(places []place) int {
	oldest := 0
	for i := range places {
		if places[i].lastUsed < places[oldest].lastUsed {
			oldest = i
		}
	}
	return oldest
}

// rotate drops the previous map and starts a new current one once placeTTL has passed
// or the current map is full. Parts that are used in between move to the current map.
func (h *partIndex) rotate(now clock.Boot) {
	if now.Sub(h.started) < placeTTL && len(h.current) < maxParts/2 {
		return
	}
	h.previous, h.current, h.started = h.current, map[uint64][]place{}, now
}

// invalidate makes all places at a restarted endpoint invalid.
func (h *partIndex) invalidate(endpoint string) {
	h.generations[endpoint]++
}
