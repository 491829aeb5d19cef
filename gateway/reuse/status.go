package reuse

import (
	"cmp"
	"slices"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// Status describes the resets of an endpoint.
type Status struct {
	Endpoint string `json:"endpoint"`
	// IdleMS is the shortest time for which a connection had been idle that was reset, ForMS how much
	// longer that counts, in milliseconds.
	IdleMS int64 `json:"idle_ms"`
	ForMS  int64 `json:"for_ms"`
}

// Status returns the resets of a service's endpoints, sorted by endpoint.
func (r *Resets) Status(service string, now clock.Boot) []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var all []Status
	for key, known := range r.resets {
		if known.service == service && known.counts() {
			all = append(all, Status{key.ID, known.idle.Milliseconds(), (memory - now.Sub(known.at)).Milliseconds()})
		}
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
