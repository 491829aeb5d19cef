package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// holdersPerPart bounds the endpoints that are remembered for one part.
	holdersPerPart = 64
	// toldHolders is the number of endpoints of a part from which other VMs are
	// told of no further ones: they can copy from those that they know.
	toldHolders = 4
	// countedFor is how long after its last known use a place counts for that.
	countedFor = 20 * time.Second
	// partLimit bounds the remembered parts.
	partLimit = 200_000
	// partKeep is how long an unused place is remembered.
	partKeep = 120 * time.Second
)

// place is an endpoint that holds a part, with its last known use.
type place struct {
	endpoint string
	// since is when the part was first sent there.
	since clock.Boot
	used  clock.Boot
	// due is when the endpoint has read the part at the latest, as far as is known.
	due clock.Boot
	// life is the start of the endpoint that holds it.
	life int
}

// holders remembers where prompt parts are. It is not safe for concurrent use.
type holders struct {
	current  map[uint64][]place
	previous map[uint64][]place
	started  clock.Boot
	// lives counts how often endpoints started anew; what was there before is gone.
	lives map[string]int
}

func newHolders() *holders {
	return &holders{
		current:  map[uint64][]place{},
		previous: map[uint64][]place{},
		lives:    map[string]int{},
	}
}

// of returns the places of a part, also those that are not valid any more.
func (h *holders) of(part uint64) []place {
	if places, ok := h.current[part]; ok {
		return places
	}
	return h.previous[part]
}

// valid reports whether the endpoint has not started anew since.
func (h *holders) valid(at *place) bool {
	return h.lives[at.endpoint] == at.life
}

// note records that an endpoint holds a part. It reports whether that is new and
// few other places are known, so that other VMs should know it too.
func (h *holders) note(part uint64, endpoint string, now clock.Boot) (tell bool) {
	h.rotate(now)
	places := h.of(part)
	others, replace := 0, -1
	for i := range places {
		at := &places[i]
		valid := h.valid(at)
		switch {
		case valid && at.endpoint == endpoint:
			at.used = max(at.used, now)
			h.current[part] = places
			return false
		case !valid:
			replace = i
		case now.Sub(at.used) < countedFor:
			others++
		}
	}
	next := place{endpoint: endpoint, since: now, used: now, life: h.lives[endpoint]}
	if replace < 0 && len(places) == holdersPerPart {
		replace = leastUsed(places)
	}
	if replace >= 0 {
		places[replace] = next
	} else {
		places = append(places, next)
	}
	h.current[part] = places
	return others < toldHolders
}

// find returns the place of a part at an endpoint, nil if it is not known there.
func (h *holders) find(part uint64, endpoint string) *place {
	places := h.of(part)
	for i := range places {
		if places[i].endpoint == endpoint && h.valid(&places[i]) {
			return &places[i]
		}
	}
	return nil
}

// leastUsed returns the index of the place whose last use is longest ago.
func leastUsed(places []place) int {
	least := 0
	for i := range places {
		if places[i].used < places[least].used {
			least = i
		}
	}
	return least
}

// rotate forgets what was not used for long, or when there is too much.
func (h *holders) rotate(now clock.Boot) {
	if now.Sub(h.started) < partKeep && len(h.current) < partLimit/2 {
		return
	}
	h.previous, h.current, h.started = h.current, map[uint64][]place{}, now
}

// forget drops all places at an endpoint that started anew.
func (h *holders) forget(endpoint string) {
	h.lives[endpoint]++
}
