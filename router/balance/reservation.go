package balance

import (
	"sync"
	"time"
)

// Reservation is capacity reserved at an engine. Its methods are safe for
// concurrent use.
type Reservation struct {
	tracker *LoadTracker
	request Request
	once    sync.Once

	// The tracker's lock guards the fields below.
	reservedAt      time.Time
	remainingTokens int
	// firstReport is the sequence number of the first load report that must
	// include the request; 0 before the first token.
	firstReport uint64
}

// TokenDelivered counts one token that the engine has delivered and returns its
// capacity. One token stays reserved until Release.
func (r *Reservation) TokenDelivered() {
	r.tracker.tokenDelivered(r)
}

// Release returns the capacity. Further calls do nothing.
func (r *Reservation) Release() {
	r.once.Do(func() { r.tracker.release(r) })
}
