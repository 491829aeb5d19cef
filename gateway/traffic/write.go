package traffic

import "cmp"

// Write identifies a write of an endpoint's entry: the order in which one endpoint wrote its
// entries, also over restarts.
type Write struct {
	// StartedMS is the start time of the endpoint in Unix milliseconds; 0 if it is not known.
	StartedMS int64 `json:"started_ms,omitempty"`
	// Sequence counts the writes since the start; 0 if it is not known.
	Sequence int64 `json:"sequence,omitempty"`
}

// Before reports whether w came before other.
func (w Write) Before(other Write) bool {
	return cmp.Or(cmp.Compare(w.StartedMS, other.StartedMS), cmp.Compare(w.Sequence, other.Sequence)) < 0
}
