package balance

import (
	"sync"
	"time"
)

// Reservation is room held at an engine. Its methods are safe for concurrent
// use.
type Reservation struct {
	ledger  *LoadTracker
	request Request
	once    sync.Once

	// The ledger's lock guards what follows.
	made    time.Time
	left    int
	started uint64
}

// Token counts one token that the engine has delivered. The room for it is
// given back; one token stays held until Release.
func (r *Reservation) TokenDelivered() {
	r.ledger.tokenDelivered(r)
}

// Release gives the room back. Further calls do nothing.
func (r *Reservation) Release() {
	r.once.Do(func() { r.ledger.release(r) })
}
