package emulator

import "time"

// Way places requests.
type Way interface {
	// Name is the way's name in tables.
	Name() string
	// Start prepares the way for a fleet.
	Start(f *Fleet)
	// Offer hands over a caller's attempt. The way must send it to an engine or
	// refuse it, at once or later.
	Offer(r *Request)
	// Read tells that an engine has read the prompt of a request.
	Read(r *Request)
	// Ended tells that an engine has no more work for a request.
	Ended(r *Request, e *Engine)
}

// comeBack is when a refused caller is told to come back.
const comeBack = 100 * time.Millisecond
