package knowledge

import "cardamompoint.example/cardamompoint/gateway/traffic"

// Snapshot is what is known at one moment. It is immutable.
type Snapshot struct {
	// Configuration is the version in force, nil before the first one.
	Configuration *traffic.Configuration
	// Endpoints are by ID, also draining ones.
	Endpoints map[string]*traffic.Endpoint
	// Ready are the endpoints of each service that may take new work, in the
	// order of their IDs.
	Ready map[string][]*traffic.Endpoint
	// Revision is the store's revision up to which everything is known.
	Revision int64
}
