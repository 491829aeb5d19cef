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
	// Sequence counts the writes of its entry since its start; 0 if it is not known.
	Sequence int64
	// Position is the position of its entry in the store's history.
	Position Position
}

// Write returns the write of this entry.
func (e *Endpoint) Write() Write {
	return Write{e.StartedMS, e.Sequence}
}

// Instance identifies one incarnation of an endpoint: one that restarts may keep its ID.
type Instance struct {
	ID string
	// StartedMS is the start time in Unix milliseconds, 0 if it is not known.
	StartedMS int64
}

// Instance returns the instance that the entry describes.
func (e *Endpoint) Instance() Instance {
	return Instance{e.ID, e.StartedMS}
}

// SameInstance reports whether both values describe the same instance at the same address.
func (e *Endpoint) SameInstance(other *Endpoint) bool {
	return e.Instance() == other.Instance() && e.Address == other.Address
}
