package router

import (
	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/hold"
)

const workPath = "/peer/v1/work"

// workOrder requests an engine's home to run work at the engine.
type workOrder struct {
	// Engine is the engine's address.
	Engine string `json:"engine"`
	// Work is the work to run.
	Work endpoint.Work `json:"work"`
	// Lookup is how the home uses its record of the chat's context.
	Lookup affinity.LookupMode `json:"lookup,omitempty"`
	// LastResort reports whether no other candidate has capacity below the load
	// multiple.
	LastResort bool `json:"last,omitempty"`
	// DeadlineMS is the time left for the answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// key returns the key of the stream that the order starts.
func (o workOrder) key() hold.Key {
	return hold.Key{Engine: o.Engine, RequestID: o.Work.RequestID, StreamID: o.Work.StreamID}
}
