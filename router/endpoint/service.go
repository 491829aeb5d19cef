package endpoint

import "context"

// Service calls plain services. Implementations are safe for concurrent use and
// never retry a call.
type Service interface {
	// Call sends call to the endpoint with the given address. An error with
	// code.RunNo proves that nothing was sent.
	Call(ctx context.Context, address string, call Call) (Answer, error)
	// Load returns the endpoint's load report.
	Load(ctx context.Context, address string) (Load, error)
}
