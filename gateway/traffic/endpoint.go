package traffic

import "time"

// Endpoint is one published instance of a service. It is immutable.
type Endpoint struct {
	// ID names the instance. A restart may keep the ID and change Born.
	ID string
	// Born is the instance's start, in Unix milliseconds; 0 if it is not told.
	Born int64
	// Service names what it serves.
	Service string
	// Address is its IP number and port.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining tells that it is about to leave and takes no new work.
	Draining bool
	// ColdFor is how much longer it is slow after its start, at its last report.
	ColdFor time.Duration
	// Revision is the store's revision of the entry.
	Revision int64
}

// Same reports whether both values describe one instance at one address.
func (e *Endpoint) Same(other *Endpoint) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Address == other.Address
}
