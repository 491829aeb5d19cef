package endpoint

import "context"

// Service calls plain services. Implementations are safe for concurrent use
// and never repeat a call by themselves.
type Service interface {
	// Call sends call to the worker with the given address. An error with
	// RunNo proves that no byte was sent.
	Call(ctx context.Context, address string, call Call) (Answer, error)
	// Load returns the worker's report.
	Load(ctx context.Context, address string) (Load, error)
}
