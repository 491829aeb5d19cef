package choice

import (
	"cmp"
	"slices"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// EndpointStatus is what is believed of one endpoint.
type EndpointStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	// Load is the estimated number of requests there, Own this VM's part.
	Load int `json:"load"`
	Own  int `json:"own"`
	// Reading is the number of prompt tokens that it has still to read.
	PrefillTokens int `json:"reading"`
	// FaultPercent is the part of recent requests that failed.
	FaultPercent int `json:"fault_percent"`
	// Avoided tells that it gets no requests for a moment.
	Avoided bool `json:"avoided"`
	// Leaving tells that it has said that it is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// RestMS is how long it still wants no requests, in milliseconds.
	BackoffMS int64 `json:"rest_ms,omitempty"`
}

// Status returns what is believed of all endpoints, in the order of their IDs.
func (t *Table) Status(now clock.Boot) []EndpointStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []EndpointStatus
	for id, known := range t.states {
		if known.endpoint == nil {
			continue
		}
		all = append(all, EndpointStatus{
			ID:            id,
			Service:       known.endpoint.Service,
			Address:       known.endpoint.Address,
			Load:          known.load(now),
			Own:           known.own,
			PrefillTokens: known.reading + known.peersReading,
			FaultPercent:  int(known.faultShare(now) * 100),
			Avoided:       now < known.avoidUntil,
			Leaving:       known.notice.leavingAt != 0,
			BackoffMS:     max(0, known.notice.restUntil.Sub(now)).Milliseconds(),
		})
	}
	slices.SortFunc(all, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
