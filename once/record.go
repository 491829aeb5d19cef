package once

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// Record is what an executor remembers of one key.
type Record struct {
	// Key identifies the work.
	Key string
	// Digest is the digest of the work's content.
	Digest string
	// Expires is when the record may be forgotten.
	Expires time.Time

	done    chan struct{}
	outcome Outcome
}

// Finish records the outcome. It must be called exactly once, by the process
// that began the record.
func (r *Record) Finish(outcome Outcome) {
	r.outcome = outcome
	close(r.done)
}

// Wait returns the outcome once the work has ended, or an InProgress error
// when ctx ends first.
func (r *Record) Wait(ctx context.Context) (Outcome, error) {
	select {
	case <-r.done:
		return r.outcome, nil
	case <-ctx.Done():
		return Outcome{}, code.New(code.InProgress, "the work is still in progress").After(time.Second)
	}
}
