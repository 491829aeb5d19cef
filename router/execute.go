package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/endpoint"
	"cardamompoint.example/cardamompoint/once"
)

const (
	executePath = "/peer/v1/execute"
	outcomePath = "/peer/v1/outcome"
)

// retryUnknown is when to ask again for an unknown outcome.
const retryUnknown = 2 * time.Second

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

// callOnce runs a call that may not be repeated, under the ticket in key.
func (r *Router) callOnce(ctx context.Context, service string, call endpoint.Call, key string) (*endpoint.Answer, error) {
	if key == "" {
		return nil, code.New(code.InvalidKey, "the header %s is missing", keyHeader)
	}
	ticket, err := once.OpenTicket(r.settings.Secret, key, call.Workspace)
	if err != nil {
		return nil, err
	}
	outcome, err := r.sendExecution(ctx, execution{Ticket: ticket, Service: service, Call: call})
	if err != nil {
		return nil, err
	}
	if outcome.Error != nil {
		return nil, outcome.Error
	}
	return outcome.Answer, nil
}

// sendExecution passes order to its executor.
func (r *Router) sendExecution(ctx context.Context, order execution) (once.Outcome, error) {
	executor := order.Ticket.Executor
	klog.Infof("exec: request %s goes to executor %s.", order.Call.RequestID, executor)
	if executor == r.members.Self().Address {
		return r.execute(ctx, order)
	}
	order.DeadlineMS = timeLeft(ctx).Milliseconds()
	var outcome once.Outcome
	if err := r.work.Post(ctx, executor, executePath, order, &outcome); err != nil {
		return once.Outcome{}, executorError(err)
	}
	return outcome, nil
}

// executorError keeps the executor's own result. A failure on the way leaves
// the outcome unknown, since an earlier attempt may have reached the executor.
func executorError(err error) error {
	coded := code.Of(err)
	switch coded.Code {
	case code.PeerUnreachable, code.EndpointFault, code.DeadlineExceeded, code.Canceled, code.PeerRejected:
		return code.New(code.OutcomeUnknown, "the executor can't be asked: %v", coded).After(retryUnknown)
	}
	return coded
}

// serveExecute answers a peer's execution.
func (r *Router) serveExecute(ctx context.Context, order execution) (once.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(order.DeadlineMS)*time.Millisecond)
	defer cancel()
	return r.execute(ctx, order)
}

// execute runs a call under a ticket of this process, or returns the outcome
// of its first run.
func (r *Router) execute(ctx context.Context, order execution) (once.Outcome, error) {
	if err := r.checkTicket(order.Ticket); err != nil {
		return once.Outcome{}, err
	}
	expires := time.UnixMilli(order.Ticket.ExpiresMS)
	record, first, err := r.records.Begin(order.Ticket.Serial, callDigest(order.Call), time.Now(), expires)
	if err != nil {
		return once.Outcome{}, err
	}
	if first {
		r.tasks.Add(1)
		go r.runRecord(record, order)
	}
	return record.Wait(ctx)
}

func (r *Router) checkTicket(ticket once.Ticket) error {
	self := r.members.Self()
	if ticket.Executor != self.Address || ticket.Incarnation != self.Incarnation {
		return code.New(code.OutcomeUnknown, "the executor of the ticket has restarted")
	}
	if time.Now().After(time.UnixMilli(ticket.ExpiresMS)) {
		return code.New(code.KeyExpired, "the ticket has expired")
	}
	return nil
}

// runRecord runs the call of a record that was just begun. The caller's
// leaving does not end it.
func (r *Router) runRecord(record *once.Record, order execution) {
	defer r.tasks.Done()
	r.peerWork.Add(1)
	defer r.peerWork.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(r.settings.Timing.RequestMS))
	defer cancel()
	record.Finish(r.runCall(ctx, order))
}

// runCall sends the call to one worker. The next worker is tried only if it is
// proved that no byte was sent.
func (r *Router) runCall(ctx context.Context, order execution) once.Outcome {
	var last error
	for _, worker := range r.workers(r.members.View(), order.Service, order.Call.RequestID) {
		klog.Infof("exec: request %s %s %s is sent to worker %s.", order.Call.RequestID, order.Call.Method, order.Call.Path, worker)
		answer, err := r.callWorker(ctx, worker, order.Call)
		if err == nil {
			return once.Outcome{Answer: &answer}
		}
		klog.Infof("exec: request %s failed at worker %s: %v.", order.Call.RequestID, worker, err)
		if code.Of(err).Run != code.RunNo {
			return once.Outcome{Error: code.New(code.OutcomeUnknown, "the worker failed: %v", err)}
		}
		last = err
	}
	if last == nil {
		return once.Outcome{Error: code.Of(noWorker(order.Service))}
	}
	return once.Outcome{Error: code.New(code.NotSent, "no worker took the call: %v", last).After(retryBusy)}
}

func callDigest(call endpoint.Call) string {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), []byte(call.ContentType), call.Body} {
		sum.Write(part)
		sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// outcome returns what the executor of the ticket recorded.
func (r *Router) outcome(ctx context.Context, ticket once.Ticket) (once.Outcome, error) {
	if ticket.Executor != r.members.Self().Address {
		var outcome once.Outcome
		if err := r.work.Post(ctx, ticket.Executor, outcomePath, ticket, &outcome); err != nil {
			return once.Outcome{}, executorError(err)
		}
		return outcome, nil
	}
	if err := r.checkTicket(ticket); err != nil {
		return once.Outcome{}, err
	}
	record := r.records.Find(ticket.Serial)
	if record == nil {
		return once.Outcome{}, code.New(code.UnknownRequest, "the work has not come yet")
	}
	return record.Wait(ctx)
}
