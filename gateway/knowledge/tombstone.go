package knowledge

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// tombstoneTTL is how long tombstones are kept. No source of updates that is still
	// in use lags that far behind.
	tombstoneTTL = 60 * time.Second
	// maxTombstones bounds the tombstones.
	maxTombstones = 4096
)

// tombstone records the deletion of an entry.
type tombstone struct {
	position  traffic.Position
	appliedAt clock.Boot
	// startedMS is the start of the endpoint that the entry described; 0 if it is not known.
	startedMS int64
}
