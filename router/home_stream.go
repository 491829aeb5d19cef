package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/router/balance"
)

// homeStream is a stream at an engine that this router counts. Its fields are
// guarded by the homeStreams that holds it.
type homeStream struct {
	streamKey

	// reservation is the room held at the engine.
	reservation *balance.Reservation
	// reader numbers the relays, the newest one last.
	readerID int
	// stop ends the newest relay; nil while nobody reads.
	stopReader context.CancelCauseFunc
	// hold ends the stream if nobody comes back; nil while somebody reads.
	holdTimer *time.Timer
}

// streamKey names a stream at an engine.
type streamKey struct {
	// Engine is the engine's address.
	Engine string `json:"engine"`
	// RequestID is the request that the stream answers.
	RequestID string `json:"request_id"`
	// StreamID is the engine's stream.
	StreamID string `json:"stream_id"`
}
