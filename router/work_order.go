package router

import (
	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/endpoint"
)

const workPath = "/peer/v1/work"

// workOrder asks an engine's home to run work there.
type workOrder struct {
	// Engine is the engine's address.
	Engine string `json:"engine"`
	// Work is the work.
	Work endpoint.Work `json:"work"`
	// Lookup tells how the home uses what it knows of the chat.
	Lookup affinity.LookupMode `json:"lookup,omitempty"`
	// Last tells that no candidate has room below the load multiple.
	LastResort bool `json:"last,omitempty"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// key names the stream that the order starts.
func (o workOrder) key() streamKey {
	return streamKey{Engine: o.Engine, RequestID: o.Work.RequestID, StreamID: o.Work.StreamID}
}
