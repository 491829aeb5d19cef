package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/router/balance"
)

// homeStream is a stream at an engine that this router accounts for. Its fields are
// guarded by the mutex of its homeStreams.
type homeStream struct {
	streamKey

	// reservation is the capacity reserved at the engine; nil if there is none.
	reservation *balance.Reservation
	// readerID is the number of the current reader. It rises with each new reader.
	readerID int
	// stopReader ends the current reader's relay; nil while there is no reader.
	stopReader context.CancelCauseFunc
	// holdTimer cancels the stream if no reader resumes it in time; nil while there
	// is a reader.
	holdTimer *time.Timer
}

// streamKey identifies a stream at an engine.
type streamKey struct {
	// Engine is the engine's address.
	Engine string `json:"engine"`
	// RequestID is the ID of the request that the stream answers.
	RequestID string `json:"request_id"`
	// StreamID is the stream's ID at the engine.
	StreamID string `json:"stream_id"`
}
