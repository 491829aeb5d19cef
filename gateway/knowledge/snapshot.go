package knowledge

import (
	"sort"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// Snapshot is the state of a Tracker at one moment. It is immutable.
type Snapshot struct {
	// Configuration is the newest version, nil before the first one.
	Configuration *traffic.Configuration
	// Endpoints are all endpoints by ID, draining ones included.
	Endpoints map[string]*traffic.Endpoint
	// Ready are the endpoints of each service that accept new requests, sorted by
	// ID.
	Ready map[string][]*traffic.Endpoint
	// Position is the position in the store's history that the snapshot is complete up to.
	Position traffic.Position
}

// publish stores a new snapshot and passes it to onChange. The caller holds the lock.
func (t *Tracker) publish() {
	next := &Snapshot{
		Configuration: t.configuration,
		Endpoints:     make(map[string]*traffic.Endpoint, len(t.entries.endpoints)),
		Ready:         map[string][]*traffic.Endpoint{},
		Position:      t.position,
	}
	for _, endpoint := range t.entries.endpoints {
		next.Endpoints[endpoint.ID] = endpoint
		if !endpoint.Draining {
			next.Ready[endpoint.Service] = append(next.Ready[endpoint.Service], endpoint)
		}
	}
	for _, ready := range next.Ready {
		sort.Slice(ready, func(i, j int) bool { return ready[i].ID < ready[j].ID })
	}
	t.snapshot.Store(next)
	t.onChange(next)
}
