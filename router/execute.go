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

// retryUnknown is when to ask again for an unknown outcome.
const unknownRetryAfter = 2 * time.Second

// execution asks the executor that a ticket names to run a call.
type execution struct {
	// Ticket names the executor.
	Ticket once.Ticket `json:"ticket"`
	// Service is the group of workers.
	Service string `json:"service"`
	// Call is the call.
	Call endpoint.Call `json:"call"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// inquiry asks the executor of a ticket for the outcome.
type outcomeQuery struct {
	// Ticket names the executor.
	Ticket once.Ticket `json:"ticket"`
	// Revoke asks that work that has not begun never runs.
	Revoke bool `json:"revoke,omitempty"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// sendExecution passes order to its executor.
func (r *Router) sendExecution(ctx context.Context, order execution) (once.Outcome, error) {
	executor := order.Ticket.Executor
	klog.Infof("exec: request %s goes to executor %s.", order.Call.RequestID, executor)
	order.DeadlineMS = replyDeadlineMS(ctx)
	return callExecutor(ctx, r, executor, executePath, order, r.serveExecute)
}

// askExecutor asks the only router that can know the outcome. Its own result
// is kept; a failure on the way leaves the outcome unknown, since an earlier
// attempt may have reached it.
func callExecutor[In any](ctx context.Context, r *Router, executor, path string, in In, serve func(context.Context, In) (once.Outcome, error)) (once.Outcome, error) {
	ctx, cancel := r.whileReachable(ctx, executor)
	defer cancel()
	outcome, err := callRouter(ctx, r, executor, path, in, serve)
	if err != nil && deliveryUncertain(err) {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the executor can't be asked: %v", err).After(unknownRetryAfter)
	}
	return outcome, err
}

// serveExecute runs a call under a ticket of this process, or returns the
// outcome of its first run.
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

// beginTicket returns the ticket's record. A refusal leaves open whether the
// work was run or will be.
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

// runTicket runs the call of a record that was just begun. The caller's
// leaving does not end it.
func (r *Router) runTicket(record *once.Record, order execution) {
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(r.settings.Timing.RequestMS))
	defer cancel()
	record.Finish(r.runCall(ctx, order.Service, order.Call, func() error { return r.checkTicket(order.Ticket) }))
}

// runCall sends the call to one worker. The next worker is tried only if it is
// proved that no byte was sent. check is asked directly before each send, since
// the process may have slept; its error ends the work, which then never runs.
func (r *Router) runCall(ctx context.Context, service string, call endpoint.Call, check func() error) once.Outcome {
	call.Fence = time.Now().UnixMilli()
	last := noWorker(service)
	for _, worker := range r.workers(r.members.View(), service, call.RequestID) {
		if err := check(); err != nil {
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
	return notRunOutcome("no worker took the call: %v", last)
}

// neverRun is the outcome of work that was not sent and never will be.
func notRunOutcome(format string, args ...any) once.Outcome {
	return once.Outcome{Error: code.New(code.NotSent, format, args...).After(busyRetryAfter)}
}

// askTicketOutcome asks the executor of a ticket for what it recorded.
func (r *Router) askTicketOutcome(ctx context.Context, ticket once.Ticket, revoke bool) (once.Outcome, error) {
	question := outcomeQuery{Ticket: ticket, Revoke: revoke, DeadlineMS: replyDeadlineMS(ctx)}
	return callExecutor(ctx, r, ticket.Executor, outcomePath, question, r.serveOutcomeQuery)
}

// serveInquiry answers what this executor recorded of a ticket.
func (r *Router) serveOutcomeQuery(ctx context.Context, question outcomeQuery) (once.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(question.DeadlineMS)*time.Millisecond)
	defer cancel()
	if question.Revoke {
		return r.revokeTicket(ctx, question.Ticket)
	}
	if err := r.checkTicket(question.Ticket); err != nil {
		return once.Outcome{}, err
	}
	record := r.records.Find(question.Ticket.Serial)
	if record == nil {
		return once.Outcome{}, code.New(code.UnknownRequest, "the work has not come yet")
	}
	return record.Wait(ctx, once.AnyDigest)
}

// revokeTicket marks work that has not begun as never to run.
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
