package endpoint

import "context"

// Sink receives the lines of an answer in order. An error aborts the answer.
type Sink func(Line) error

// Engine runs model work. Implementations are safe for concurrent use.
type Engine interface {
	// Generate runs work at the engine with the given address and passes each line
	// of the answer to sink. It returns after the final line. An error with
	// code.RunNo proves that the engine did not start the work.
	Generate(ctx context.Context, address string, work Work, sink Sink) error
	// Resume continues a stream from the token at offset.
	Resume(ctx context.Context, address, requestID, streamID string, offset int, sink Sink) error
	// Cancel ends a stream. It is idempotent.
	Cancel(ctx context.Context, address, streamID string) error
	// Load returns the engine's load report.
	Load(ctx context.Context, address string) (Load, error)
}
