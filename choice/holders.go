package choice

import (
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// holdersPerPart bounds the endpoints that are remembered for one part.
	holdersPerPart = 6
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
}

// holders remembers where prompt parts are. It is not safe for concurrent use.
type holders struct {
	current  map[uint64][]place
	previous map[uint64][]place
	started  clock.Boot
}

func newHolders() *holders {
	return &holders{current: map[uint64][]place{}, previous: map[uint64][]place{}}
}

// of returns the places of a part, the latest use first.
func (h *holders) of(part uint64) []place {
	if places, ok := h.current[part]; ok {
		return places
	}
	return h.previous[part]
}

// note records that an endpoint holds a part. It reports whether that is new.
func (h *holders) note(part uint64, endpoint string, now clock.Boot) bool {
	h.rotate(now)
	places := h.of(part)
	for i := range places {
		if places[i].endpoint == endpoint {
			found := places[i]
			found.used = max(found.used, now)
			next := append([]place{found}, places[:i]...)
			h.current[part] = append(next, places[i+1:]...)
			return false
		}
	}
	kept := places[:min(len(places), holdersPerPart-1)]
	h.current[part] = append([]place{{endpoint, now, now}}, kept...)
	return true
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
	for _, generation := range []map[uint64][]place{h.current, h.previous} {
		for part, places := range generation {
			generation[part] = slices.DeleteFunc(slices.Clone(places), func(at place) bool { return at.endpoint == endpoint })
		}
	}
}
