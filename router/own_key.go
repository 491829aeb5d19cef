package router

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/once"
)

const (
	clearPath      = "/peer/v1/clear"
	releasePath    = "/peer/v1/release"
	holderPath     = "/peer/v1/holder"
	ownExecutePath = "/peer/v1/own/execute"
	ownOutcomePath = "/peer/v1/own/outcome"
)

// ownExecution asks a router to run a call under a caller's own key.
type ownExecution struct {
	// Key is the caller's key.
	Key once.CallerKey `json:"key"`
	// Revoke asks that the key never runs; there is no call then.
	Revoke bool `json:"revoke,omitempty"`
	// Service is the group of workers.
	Service string `json:"service"`
	// Call is the call.
	Call endpoint.Call `json:"call"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

func (o *ownExecution) digest() string {
	if o.Revoke {
		return once.AnyDigest
	}
	return o.Call.Digest()
}

// executeOwnKey finds the router that executes the key and returns the outcome
// there. Which router is asked first is only a hint: the clearance decides.
func (r *Router) executeOwnKey(ctx context.Context, order ownExecution) (once.Outcome, error) {
	if err := r.checkOwnKey(order.Key); err != nil {
		return once.Outcome{}, err
	}
	var last error
	for _, executor := range r.executors(order.Key) {
		klog.Infof("exec: key %s goes to executor %s.", order.Key.ID, executor)
		outcome, err := r.sendOwnExecution(ctx, executor, order)
		if err != nil && cutOff(err) && ctx.Err() == nil {
			klog.Infof("exec: key %s passes over executor %s: %v.", order.Key.ID, executor, err)
			last = err
			continue
		}
		if err != nil || outcome.Holder == nil {
			return outcome, ownKeyError(err)
		}
		return r.executeAtHolder(ctx, order, executor, *outcome.Holder)
	}
	return once.Outcome{}, ownKeyError(last)
}

// ownKeyError returns the unknown outcome in place of a failure on the way.
func ownKeyError(err error) error {
	if err != nil && cutOff(err) {
		return code.New(code.OutcomeUnknown, "no executor answered: %v", err).After(retryUnknown)
	}
	return err
}

// executeAtHolder goes to the process that has the key. The router that was
// asked before could not get the clearance because of it.
func (r *Router) executeAtHolder(ctx context.Context, order ownExecution, asked string, holder once.Holder) (once.Outcome, error) {
	if holder.Address == asked {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the executor of the key has restarted").After(retryUnknown)
	}
	klog.Infof("exec: key %s goes to its holder %s.", order.Key.ID, holder.Address)
	outcome, err := r.sendOwnExecution(ctx, holder.Address, order)
	if err != nil && cutOff(err) {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the holder of the key can't be asked: %v", err).After(retryUnknown)
	}
	if outcome.Holder != nil && outcome.Holder.Address == holder.Address {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the holder of the key has restarted").After(retryUnknown)
	}
	return outcome, err
}

// executors returns the routers of the key's group that are alive and stay, in
// the group's order, and this router at the end.
func (r *Router) executors(key once.CallerKey) []string {
	r.noteView()
	now, self := time.Now(), r.members.Self().Address
	executors := slices.DeleteFunc(r.views.Group(key.Name()), func(address string) bool {
		return r.members.Health(address, now) != member.HealthAlive
	})
	if !slices.Contains(executors, self) {
		executors = append(executors, self)
	}
	return executors
}

func (r *Router) sendOwnExecution(ctx context.Context, executor string, order ownExecution) (once.Outcome, error) {
	ctx, cancel := r.whileReachable(ctx, executor)
	defer cancel()
	order.DeadlineMS = answerWithinMS(ctx)
	return askRouter(ctx, r, executor, ownExecutePath, order, r.serveOwnExecute)
}

// checkOwnKey returns an error unless the key may be used now.
func (r *Router) checkOwnKey(key once.CallerKey) error {
	now, err := r.clock.Now()
	if err != nil {
		return err
	}
	return r.window.Check(key.IssuedAt(), now)
}

// serveOwnExecute runs a call under a caller's own key if this process gets the
// clearance, or returns the outcome of its first run here.
func (r *Router) serveOwnExecute(ctx context.Context, order ownExecution) (once.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(order.DeadlineMS)*time.Millisecond)
	defer cancel()
	if err := r.checkOwnKey(order.Key); err != nil {
		return once.Outcome{}, err
	}
	expires := r.window.ForgetAfter(order.Key.IssuedAt())
	record, first, err := r.records.Begin(order.Key.Name(), order.digest(), time.Now(), expires)
	if err != nil {
		return once.Outcome{}, code.Of(err).WithRun(code.RunUnknown)
	}
	if first {
		r.execute(func() { r.runOwnKey(record, order) })
	}
	return record.Wait(ctx, order.digest())
}

// runOwnKey gets the clearance for a record that was just begun and runs its
// call. Without the clearance the record is dropped, so that the key can be
// tried again.
func (r *Router) runOwnKey(record *once.Record, order ownExecution) {
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(r.settings.Timing.RequestMS))
	defer cancel()
	holder, err := r.clear(ctx, order.Key)
	if err != nil {
		r.records.Drop(record)
		record.Finish(once.Outcome{Error: code.Of(err), Holder: holder})
		return
	}
	record.MarkCleared()
	if order.Revoke {
		record.Finish(neverRun("the key was revoked"))
		return
	}
	record.Finish(r.runCall(ctx, order.Service, order.Call, func() error { return r.checkOwnKey(order.Key) }))
}
