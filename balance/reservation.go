package balance

import "sync"

// Reservation is room held at an engine.
type Reservation struct {
	ledger  *Ledger
	request Request
	once    sync.Once
}

// Release gives the room back. Further calls do nothing.
func (r *Reservation) Release() {
	r.once.Do(func() { r.ledger.release(r.request) })
}
