package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/once"
)

const (
	executePath = "/peer/v1/execute"
	outcomePath = "/peer/v1/outcome"
)

// unknownRetryAfter is when a caller should ask again for an unknown outcome.
const unknownRetryAfter = 2 * time.Second

// execution requests the executor named by a ticket to run a call.
type execution struct {
	// Ticket names the executor.
	Ticket once.Ticket `json:"ticket"`
	// Service is the group of workers that serves the call.
	Service string `json:"service"`
	// Call is the call to run.
	Call endpoint.Call `json:"call"`
	// DeadlineMS is the time left for an answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// outcomeQuery requests the outcome of a ticket from its executor.
type outcomeQuery struct {
	// Ticket names the executor.
	Ticket once.Ticket `json:"ticket"`
	// Revoke requests that work which has not started never runs.
	Revoke bool `json:"revoke,omitempty"`
	// DeadlineMS is the time left for an answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// sendExecution sends order to its ticket's executor and returns the outcome.
func (r *Router) sendExecution(ctx context.Context, order execution) (once.Outcome, error) {
	executor := order.Ticket.Executor
	klog.Infof("exec: request %s goes to executor %s.", order.Call.RequestID, executor)
	order.DeadlineMS = replyDeadlineMS(ctx)
	return callExecutor(ctx, r, executor, executePath, order, r.serveExecute)
}

// callExecutor calls the only router that can know the outcome. Errors that the
// executor returned are passed on; after a transport failure the outcome is
// unknown, since an earlier attempt may have reached the executor.
func callExecutor[In any](ctx context.Context, r *Router, executor, path string, in In, serve func(context.Context, In) (once.Outcome, error)) (once.Outcome, error) {
	ctx, cancel := r.whileReachable(ctx, executor)
	defer cancel()
	outcome, err := callRouter(ctx, r, executor, path, in, serve)
	if err != nil && deliveryUncertain(err) {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the executor can't be reached: %v", err).After(unknownRetryAfter)
	}
	return outcome, err
}

// serveExecute runs a call under a ticket of this process, or returns the outcome
// of its first run.
func (r *Router) serveExecute(ctx context.Context, order execution) (once.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(order.DeadlineMS)*time.Millisecond)
	defer cancel()
	digest := order.Call.Digest()
	record, first, err := r.beginTicket(order.Ticket, digest)
	if err != nil {
		return once.Outcome{}, err
	}
	if first {
		record.MarkCleared()
		r.runInBackground(func() { r.runTicket(record, order) })
	}
	return record.Wait(ctx, digest)
}

// beginTicket returns the ticket's record and whether it is new. An error leaves
// open whether the work ran or will run.
func (r *Router) beginTicket(ticket once.Ticket, digest string) (*once.Record, bool, error) {
	if err := r.checkTicket(ticket); err != nil {
		return nil, false, err
	}
	record, first, err := r.records.Begin(ticket.Serial, digest, time.Now(), ticket.ExpiresAt())
	if err != nil {
		return nil, false, code.Of(err).WithRun(code.RunUnknown)
	}
	return record, first, nil
}

// checkTicket returns an error if the ticket belongs to another process or has
// expired.
func (r *Router) checkTicket(ticket once.Ticket) error {
	self := r.members.Self()
	if ticket.Executor != self.Address || ticket.Incarnation != self.Incarnation {
		return code.New(code.OutcomeUnknown, "the executor of the ticket has restarted")
	}
	if time.Now().After(ticket.ExpiresAt()) {
		return code.New(code.KeyExpired, "the ticket has expired")
	}
	return nil
}

// runTicket runs the call of a new record. It continues if the caller disconnects.
func (r *Router) runTicket(record *once.Record, order execution) {
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(r.settings.Timing.RequestMS))
	defer cancel()
	record.Finish(r.runCall(ctx, order.Service, order.Call, func() error { return r.checkTicket(order.Ticket) }))
}

// runCall sends the call to one worker. It tries the next worker only if it is
// certain that no byte was sent. check runs immediately before each send, since the
// process may have been suspended since the last check; if it fails, or a shutdown
// could interrupt the call, the work is not sent and never runs.
func (r *Router) runCall(ctx context.Context, service string, call endpoint.Call, check func() error) once.Outcome {
	call.Fence = time.Now().UnixMilli()
	last := noWorker(service)
	for _, worker := range r.workers(r.members.View(), service, call.RequestID) {
		if err := check(); err != nil {
			return notRunOutcome("it is too late to send the call: %v", err)
		}
		if err := r.checkLateStart(ctx); err != nil {
			return notRunOutcome("it is too late to send the call: %v", err)
		}
		klog.Infof("exec: request %s %s %s is sent to worker %s.", call.RequestID, call.Method, call.Path, worker)
		answer, err := r.callWorker(ctx, worker, call)
		if err == nil {
			return once.Outcome{Answer: &answer}
		}
		klog.Infof("exec: request %s failed at worker %s: %v.", call.RequestID, worker, err)
		if code.Of(err).Run != code.RunNo {
			return once.Outcome{Error: code.New(code.OutcomeUnknown, "the worker failed: %v", err)}
		}
		last = err
	}
	return notRunOutcome("no worker accepted the call: %v", last)
}

// notRunOutcome returns the outcome of work that was not sent and never will be.
func notRunOutcome(format string, args ...any) once.Outcome {
	return once.Outcome{Error: code.New(code.NotSent, format, args...).After(busyRetryAfter)}
}

// askTicketOutcome requests the recorded outcome of a ticket from its executor.
func (r *Router) askTicketOutcome(ctx context.Context, ticket once.Ticket, revoke bool) (once.Outcome, error) {
	query := outcomeQuery{Ticket: ticket, Revoke: revoke, DeadlineMS: replyDeadlineMS(ctx)}
	return callExecutor(ctx, r, ticket.Executor, outcomePath, query, r.serveOutcomeQuery)
}

// serveOutcomeQuery returns the recorded outcome of a ticket of this process.
func (r *Router) serveOutcomeQuery(ctx context.Context, query outcomeQuery) (once.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(query.DeadlineMS)*time.Millisecond)
	defer cancel()
	if query.Revoke {
		return r.revokeTicket(ctx, query.Ticket)
	}
	if err := r.checkTicket(query.Ticket); err != nil {
		return once.Outcome{}, err
	}
	record := r.records.Find(query.Ticket.Serial)
	if record == nil {
		return once.Outcome{}, code.New(code.UnknownRequest, "the executor has not received the work")
	}
	return record.Wait(ctx, once.AnyDigest)
}

// revokeTicket records that work which has not started never runs, or returns the
// outcome of work that has.
func (r *Router) revokeTicket(ctx context.Context, ticket once.Ticket) (once.Outcome, error) {
	record, first, err := r.beginTicket(ticket, once.AnyDigest)
	if err != nil {
		return once.Outcome{}, err
	}
	if first {
		klog.Infof("exec: ticket %s is revoked.", ticket.Serial)
		record.MarkCleared()
		record.Finish(notRunOutcome("the ticket was revoked"))
	}
	return record.Wait(ctx, once.AnyDigest)
}
