package knowledge

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Evacuation is an order of the operator that the endpoints of a failure domain get no new requests.
type Evacuation struct {
	FailureDomain string
	// Position is the position of the order in the store's history.
	Position traffic.Position
	// LearnedAt is when this VM learned of it.
	LearnedAt clock.Boot
}
