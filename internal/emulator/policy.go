package emulator

import "time"

// Policy decides which engine gets each request.
type Policy interface {
	// Name returns the policy's name in tables.
	Name() string
	// Start prepares the policy for a simulation. It is called once, before any request.
	Start(sim *Simulation)
	// Place hands over an attempt of a request. The policy must send it to an engine or
	// refuse it, at once or later.
	Place(r *Request)
	// PrefillDone is called when an engine has prefilled the prompt of a request.
	PrefillDone(r *Request)
	// Finished is called when an engine has no more work for a request.
	Finished(r *Request, e *Engine)
}

// callerRetryDelay is the shortest delay after which a refused caller retries. The
// longest is twice as long.
const callerRetryDelay = 100 * time.Millisecond
