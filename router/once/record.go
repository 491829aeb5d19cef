package once

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// AnyDigest is the digest of a request without a body: a query for the outcome
// of a key or its revocation. It matches every digest.
const AnyDigest = ""

// Record is the state of one key's work at its executor. Wait is safe for
// concurrent use.
type Record struct {
	// Key identifies the work.
	Key string
	// Digest is the digest of the work's content.
	Digest string
	// ExpiresAt is when the record may be removed.
	ExpiresAt time.Time

	cleared chan struct{}
	done    chan struct{}
	outcome Outcome
}

// MarkCleared records that only this process may execute the key's work. It must
// be called at most once, before Finish, by the caller for which Table.Begin
// returned true.
func (r *Record) MarkCleared() {
	close(r.cleared)
}

// Finish records the outcome. It must be called exactly once, by the caller for
// which Table.Begin returned true.
func (r *Record) Finish(outcome Outcome) {
	r.outcome = outcome
	close(r.done)
}

// Wait returns the outcome once the work has ended, or an InProgress error if
// ctx ends first. If digest is that of another body, it returns a KeyReused
// error as soon as the record's own body is known to hold the key.
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

// ended returns the outcome of work that has ended. cleared is nil if the caller
// asks for the record's own body.
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
