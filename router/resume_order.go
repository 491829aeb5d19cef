package router

import (
	"cardamompoint.example/cardamompoint/stream"
)

const resumePath = "/peer/v1/resume"

// resumeOrder asks the router that counts a stream for the rest of it.
type resumeOrder struct {
	// Stream tells where the answer is.
	Stream stream.ID `json:"stream"`
	// Offset is the first token to come.
	Offset int `json:"offset"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// keyOf names the stream of id.
func keyOf(id stream.ID) streamKey {
	return streamKey{Engine: id.Engine, RequestID: id.RequestID, StreamID: id.StreamID}
}
