package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/once"
)

// callerKeyQuery requests the outcome of a caller key from a router.
type callerKeyQuery struct {
	// Key is the caller's key.
	Key once.CallerKey `json:"key"`
	// DeadlineMS is the time left for an answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// holderAnswer names the process to which a key was granted.
type holderAnswer struct {
	// Holder is the process, or nil if there is none.
	Holder *once.Holder `json:"holder,omitempty"`
}

// askCallerKeyOutcome finds the process that has the key and requests its record.
func (r *Router) askCallerKeyOutcome(ctx context.Context, key once.CallerKey) (once.Outcome, error) {
	holder := r.findHolder(ctx, key)
	if holder == nil {
		return once.Outcome{}, code.New(code.UnknownRequest, "no reachable router knows the key")
	}
	query := callerKeyQuery{Key: key, DeadlineMS: replyDeadlineMS(ctx)}
	return callExecutor(ctx, r, holder.Address, callerKeyOutcomePath, query, r.serveCallerKeyOutcome)
}

// findHolder asks all routers of the key's group and returns the first holder that
// one of them names, or nil.
func (r *Router) findHolder(ctx context.Context, key once.CallerKey) *once.Holder {
	r.recordMembers()
	ctx, cancel := context.WithTimeout(ctx, r.clearanceTimeout())
	defer cancel()
	group := r.membershipHistory.Group(key.Name())
	answers := make(chan *once.Holder, len(group))
	for _, address := range group {
		go func() {
			answer, _ := callRouter(ctx, r, address, holderPath, key, r.serveHolder)
			answers <- answer.Holder
		}()
	}
	for range group {
		if holder := <-answers; holder != nil {
			return holder
		}
	}
	return nil
}

// serveHolder returns the process to which this router granted the key.
func (r *Router) serveHolder(_ context.Context, key once.CallerKey) (holderAnswer, error) {
	return holderAnswer{Holder: r.clearanceGranter.Holder(key)}, nil
}

// serveCallerKeyOutcome returns the recorded outcome of a caller key.
func (r *Router) serveCallerKeyOutcome(ctx context.Context, query callerKeyQuery) (once.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(query.DeadlineMS)*time.Millisecond)
	defer cancel()
	record := r.records.Find(query.Key.Name())
	if record == nil {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the executor has no record of the key")
	}
	return record.Wait(ctx, once.AnyDigest)
}
