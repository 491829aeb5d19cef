package endpoint

import "context"

// Sink takes the lines of an answer in order. An error stops the answer.
type Sink func(Line) error

// Engine runs model work. Implementations are safe for concurrent use.
type Engine interface {
	// Generate runs work at the engine with the given address and hands each
	// line to sink. It returns after the final line. An error with RunNo proves
	// that the engine did not start.
	Generate(ctx context.Context, address string, work Work, sink Sink) error
	// Resume goes on with a stream from the token at offset.
	Resume(ctx context.Context, address, requestID, streamID string, offset int, sink Sink) error
	// Cancel ends a stream. Canceling twice is harmless.
	Cancel(ctx context.Context, address, streamID string) error
	// Load returns the engine's report.
	Load(ctx context.Context, address string) (Load, error)
}
