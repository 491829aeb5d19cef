package knowledge

import "cardamompoint.example/cardamompoint/gateway/traffic"

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
