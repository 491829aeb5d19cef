package traffic

import "time"

// Endpoint is a published instance of a service. It is immutable.
type Endpoint struct {
	// ID identifies the instance. An instance may keep its ID over a restart; StartedMS
	// then changes.
	ID string
	// StartedMS is the start time of the instance in Unix milliseconds; 0 if it is not known.
	StartedMS int64
	// Service is the name of its service.
	Service string
	// Address is its IP address and port.
	Address string
	// FailureDomain is the failure domain in which it runs.
	FailureDomain string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining reports whether it is shutting down and accepts no new requests.
	Draining bool
	// WarmUpLeft is the rest of its slow warm-up phase after a start, as of its last report.
	WarmUpLeft time.Duration
	// Revision is the store revision of its entry.
	Revision int64
}

// SameInstance reports whether both values describe the same instance at the same address.
func (e *Endpoint) SameInstance(other *Endpoint) bool {
	return e.ID == other.ID && e.StartedMS == other.StartedMS && e.Address == other.Address
}
