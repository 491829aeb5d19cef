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
	clearancePath        = "/peer/v1/clear"
	releasePath          = "/peer/v1/release"
	holderPath           = "/peer/v1/holder"
	callerKeyExecutePath = "/peer/v1/own/execute"
	callerKeyOutcomePath = "/peer/v1/own/outcome"
)

// callerKeyExecution requests a router to run a call under a caller key.
type callerKeyExecution struct {
	// Key is the caller's key.
	Key once.CallerKey `json:"key"`
	// Revoke requests that work under the key never runs; there is no call then.
	Revoke bool `json:"revoke,omitempty"`
	// Service is the group of workers that serves the call.
	Service string `json:"service"`
	// Call is the call to run.
	Call endpoint.Call `json:"call"`
	// DeadlineMS is the time left for an answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// digest returns the digest that identifies the call; a revocation matches any.
func (o *callerKeyExecution) digest() string {
	if o.Revoke {
		return once.AnyDigest
	}
	return o.Call.Digest()
}

// executeCallerKey finds the router that executes the key and returns the outcome
// recorded there. The order in which routers are asked is only a hint: the
// clearance decides which one executes.
func (r *Router) executeCallerKey(ctx context.Context, order callerKeyExecution) (once.Outcome, error) {
	if err := r.checkCallerKey(order.Key); err != nil {
		return once.Outcome{}, err
	}
	var last error
	for _, executor := range r.executors(order.Key) {
		klog.Infof("exec: key %s goes to executor %s.", order.Key.ID, executor)
		outcome, err := r.sendCallerKeyExecution(ctx, executor, order)
		if outcome.Error != nil && outcome.Error.Code == code.Draining {
			last = outcome.Error
			continue
		}
		if err != nil && deliveryUncertain(err) && ctx.Err() == nil {
			klog.Infof("exec: key %s is not executed by router %s: %v.", order.Key.ID, executor, err)
			last = err
			continue
		}
		if err != nil || outcome.Holder == nil {
			return outcome, callerKeyError(err)
		}
		return r.executeAtHolder(ctx, order, executor, *outcome.Holder)
	}
	return once.Outcome{}, callerKeyError(last)
}

// callerKeyError replaces a transport failure by an unknown outcome.
func callerKeyError(err error) error {
	if err != nil && deliveryUncertain(err) {
		return code.New(code.OutcomeUnknown, "no executor answered: %v", err).After(unknownRetryAfter)
	}
	return err
}

// executeAtHolder sends order to the process that has the key. The router asked
// before could not obtain the clearance because of that process.
func (r *Router) executeAtHolder(ctx context.Context, order callerKeyExecution, asked string, holder once.Holder) (once.Outcome, error) {
	if holder.Address == asked {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the executor of the key has restarted").After(unknownRetryAfter)
	}
	klog.Infof("exec: key %s goes to its holder %s.", order.Key.ID, holder.Address)
	outcome, err := r.sendCallerKeyExecution(ctx, holder.Address, order)
	if err != nil && deliveryUncertain(err) {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the holder of the key can't be reached: %v", err).After(unknownRetryAfter)
	}
	if outcome.Holder != nil && outcome.Holder.Address == holder.Address {
		return once.Outcome{}, code.New(code.OutcomeUnknown, "the holder of the key has restarted").After(unknownRetryAfter)
	}
	return outcome, err
}

// executors returns the routers of the key's group that are alive and not leaving,
// in the group's order, followed by this router if it is not among them.
func (r *Router) executors(key once.CallerKey) []string {
	r.recordMembers()
	now, self := time.Now(), r.members.Self().Address
	executors := slices.DeleteFunc(r.membershipHistory.Group(key.Name()), func(address string) bool {
		return r.members.Health(address, now) != member.HealthAlive
	})
	if !slices.Contains(executors, self) {
		executors = append(executors, self)
	}
	return executors
}

// sendCallerKeyExecution sends order to one executor and returns its outcome.
func (r *Router) sendCallerKeyExecution(ctx context.Context, executor string, order callerKeyExecution) (once.Outcome, error) {
	ctx, cancel := r.whileReachable(ctx, executor)
	defer cancel()
	order.DeadlineMS = replyDeadlineMS(ctx)
	return callRouter(ctx, r, executor, callerKeyExecutePath, order, r.serveCallerKeyExecute)
}

// checkCallerKey returns an error if the key can't be used now because of its age.
func (r *Router) checkCallerKey(key once.CallerKey) error {
	now, err := r.keyClock.Now()
	if err != nil {
		return err
	}
	return r.keyWindow.Check(key.IssuedAt(), now)
}

// serveCallerKeyExecute runs a call under a caller key if this process obtains the
// clearance, or returns the outcome of its first run here.
func (r *Router) serveCallerKeyExecute(ctx context.Context, order callerKeyExecution) (once.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(order.DeadlineMS)*time.Millisecond)
	defer cancel()
	if err := r.checkCallerKey(order.Key); err != nil {
		return once.Outcome{}, err
	}
	expires := r.keyWindow.ForgetAfter(order.Key.IssuedAt())
	record, first, err := r.records.Begin(order.Key.Name(), order.digest(), time.Now(), expires)
	if err != nil {
		return once.Outcome{}, code.Of(err).WithRun(code.RunUnknown)
	}
	if first {
		r.runInBackground(func() { r.runCallerKey(record, order) })
	}
	return record.Wait(ctx, order.digest())
}

// runCallerKey obtains the clearance for a new record and runs its call. Without
// the clearance the record is dropped, so that the key can be tried again.
func (r *Router) runCallerKey(record *once.Record, order callerKeyExecution) {
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(r.settings.Timing.RequestMS))
	defer cancel()
	if err := r.checkLateStart(ctx); err != nil && !order.Revoke {
		r.abandonKey(record, err, nil)
		return
	}
	holder, err := r.obtainClearance(ctx, order.Key)
	if err != nil {
		r.abandonKey(record, err, holder)
		return
	}
	record.MarkCleared()
	if order.Revoke {
		record.Finish(notRunOutcome("the key was revoked"))
		return
	}
	record.Finish(r.runCall(ctx, order.Service, order.Call, func() error { return r.checkCallerKey(order.Key) }))
}

// abandonKey drops a record whose key was not cleared, so that the key can be tried again here or at
// another router. holder is the process that has the key, or nil.
func (r *Router) abandonKey(record *once.Record, err error, holder *once.Holder) {
	r.records.Drop(record)
	abandoned := *code.Of(err)
	record.Finish(once.Outcome{Error: abandoned.WithRun(code.RunUnknown), Holder: holder})
}
