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

// newSnapshot returns a snapshot of a configuration, which may be nil, and the endpoints by key. It
// leaves out endpoints whose addresses are reserved; reserved may be nil.
func newSnapshot(configuration *traffic.Configuration, endpoints map[string]*traffic.Endpoint, position traffic.Position, reserved func(string) bool) *Snapshot {
	snapshot := &Snapshot{
		Configuration: configuration,
		Endpoints:     make(map[string]*traffic.Endpoint, len(endpoints)),
		Ready:         map[string][]*traffic.Endpoint{},
		Position:      position,
	}
	for _, endpoint := range endpoints {
		if reserved != nil && reserved(endpoint.Address) {
			continue
		}
		snapshot.Endpoints[endpoint.ID] = endpoint
		if !endpoint.Draining {
			snapshot.Ready[endpoint.Service] = append(snapshot.Ready[endpoint.Service], endpoint)
		}
	}
	for _, ready := range snapshot.Ready {
		sort.Slice(ready, func(i, j int) bool { return ready[i].ID < ready[j].ID })
	}
	return snapshot
}
