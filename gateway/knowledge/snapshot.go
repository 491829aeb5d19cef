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
	// Evacuated are the evacuations in force by failure domain.
	Evacuated map[string]Evacuation
	// Position is the position in the store's history that the snapshot is complete up to.
	Position traffic.Position
}

// IsEvacuated reports whether an endpoint gets no new requests because its failure domain is evacuated.
func (s *Snapshot) IsEvacuated(endpoint *traffic.Endpoint) bool {
	_, evacuated := s.Evacuated[endpoint.FailureDomain]
	return evacuated
}

// newSnapshot returns a snapshot of a configuration, which may be nil, the endpoints by key and the evacuations by
// failure domain. It leaves out endpoints whose addresses are reserved; reserved may be nil.
func newSnapshot(configuration *traffic.Configuration, endpoints map[string]*traffic.Endpoint, evacuated map[string]Evacuation, position traffic.Position, reserved func(string) bool) *Snapshot {
	snapshot := &Snapshot{
		Configuration: configuration,
		Endpoints:     make(map[string]*traffic.Endpoint, len(endpoints)),
		Ready:         map[string][]*traffic.Endpoint{},
		Evacuated:     evacuated,
		Position:      position,
	}
	for _, endpoint := range endpoints {
		if reserved != nil && reserved(endpoint.Address) {
			continue
		}
		snapshot.Endpoints[endpoint.ID] = endpoint
		if !endpoint.Draining && !snapshot.IsEvacuated(endpoint) {
			snapshot.Ready[endpoint.Service] = append(snapshot.Ready[endpoint.Service], endpoint)
		}
	}
	for _, ready := range snapshot.Ready {
		sort.Slice(ready, func(i, j int) bool { return ready[i].ID < ready[j].ID })
	}
	return snapshot
}
