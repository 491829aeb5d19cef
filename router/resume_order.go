package router

import (
	"cardamompoint.example/cardamompoint/router/hold"
	"cardamompoint.example/cardamompoint/stream"
)

const resumePath = "/peer/v1/resume"

// resumeOrder requests the rest of a stream from the router that accounts for it.
type resumeOrder struct {
	// Stream identifies the stream and its home.
	Stream stream.ID `json:"stream"`
	// Offset is the offset of the first token to send.
	Offset int `json:"offset"`
	// DeadlineMS is the time left for the answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// keyOf returns the key of the stream with the given ID.
func keyOf(id stream.ID) hold.Key {
	return hold.Key{Engine: id.Engine, RequestID: id.RequestID, StreamID: id.StreamID}
}
