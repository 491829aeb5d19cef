package once

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// AnyBody is the digest of a request that does not name a body: a question for
// the outcome or the revocation of a key.
const AnyDigest = ""

// Record is what an executor remembers of one key.
type Record struct {
	// Key identifies the work.
	Key string
	// Digest is the digest of the work's content.
	Digest string
	// Expires is when the record may be forgotten.
	ExpiresAt time.Time

	cleared chan struct{}
	done    chan struct{}
	outcome Outcome
}

// Clear notes that only this process may run the key. It must be called at
// most once, by the process that began the record and before Finish.
func (r *Record) MarkCleared() {
	close(r.cleared)
}

// Finish records the outcome. It must be called exactly once, by the process
// that began the record.
func (r *Record) Finish(outcome Outcome) {
	r.outcome = outcome
	close(r.done)
}

// Wait returns the outcome once the work has ended, or an InProgress error
// when ctx ends first. For another body than the record's it returns KeyReused
// as soon as it is certain that the record's own body has the key.
func (r *Record) Wait(ctx context.Context, digest string) (Outcome, error) {
	cleared := r.cleared
	if r.matches(digest) {
		cleared = nil
	}
	select {
	case <-cleared:
		return Outcome{}, r.reused()
	case <-r.done:
		return r.ended(cleared)
	case <-ctx.Done():
		return Outcome{}, code.New(code.InProgress, "the work is still in progress").After(time.Second)
	}
}

// ended returns the outcome of work that has ended; cleared is nil for the
// record's own body.
func (r *Record) ended(cleared chan struct{}) (Outcome, error) {
	select {
	case <-cleared:
		return Outcome{}, r.reused()
	default:
		return r.outcome, nil
	}
}

func (r *Record) matches(digest string) bool {
	return digest == r.Digest || digest == AnyDigest || r.Digest == AnyDigest
}

func (r *Record) reused() error {
	return code.New(code.KeyReused, "the key was used with another body")
}
