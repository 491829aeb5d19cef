package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// maxAttempts bounds the number of endpoints to which one request is sent, even if all report
// that they did not execute it.
const maxAttempts = 5

// attemptResult classifies the outcome of an attempt.
type attemptResult int

const (
	// resultDone means that the caller has received the response.
	resultDone attemptResult = iota
	// resultNotExecuted means that the endpoint did not execute the request.
	resultNotExecuted
	// resultFailed means that the request may have been executed, and that the caller has
	// received nothing.
	resultFailed
	// resultTruncated means that the caller has received a part of the response.
	resultTruncated
	// resultCallerGone means that the caller has disconnected.
	resultCallerGone
	// resultTimedOut means that the caller's timeout has expired.
	resultTimedOut
)

// String returns the name of the result in logs and metrics.
func (r attemptResult) String() string {
	return [...]string{"done", "not_run", "failed", "broken", "caller_gone", "late"}[r]
}

// attemptLabel returns the metric label of an attempt.
func (x *exchange) attemptLabel() string {
	if x.number > 1 {
		return "retry"
	}
	return "first"
}

// run sends the request to one endpoint after another until the caller has a response.
func (c *call) run() {
	c.gateway.budget.RecordRequest(c.grant.service, c.readAt)
	c.gateway.limits.RecordRequest(c.grant.service, c.readAt)
	c.awaitLocations()
	defer c.dropSuccessor()
	for {
		x, err := c.nextExchange()
		if err != nil {
			c.recordRejected()
			c.finish(err)
			return
		}
		out := x.run()
		x.record(out)
		if stop := x.finishAttempt(out); stop {
			return
		}
	}
}

// nextExchange returns the exchange of the next attempt: the one to which the request was handed over, or
// a new one.
func (c *call) nextExchange() (*exchange, error) {
	if next := c.takeSuccessor(); next != nil {
		return next, nil
	}
	return c.newExchange()
}

// newExchange picks an endpoint for another attempt.
func (c *call) newExchange() (*exchange, error) {
	pick, err := c.nextEndpoint()
	if err != nil {
		return nil, err
	}
	c.attempts++
	return &exchange{call: c, pick: pick, number: c.attempts, started: clock.Now()}, nil
}

// record adds the attempt to the log line of the request and counts it by its outcome.
func (x *exchange) record(out outcome) {
	x.attemptRecords = append(x.attemptRecords, x.newRecord(out))
	x.gateway.metrics.CountAttempt(x.attemptLabel(), out.result.String())
	if out.result == resultFailed || out.result == resultTruncated {
		x.executions++
	}
	if out.refusedAsFull() {
		x.refusals++
	}
}

// finishAttempt handles the outcome of an attempt. It ends the call, or returns false if the
// request may be retried.
func (x *exchange) finishAttempt(out outcome) (stop bool) {
	switch out.result {
	case resultDone:
		x.recordStreamTime()
		now := clock.Now()
		x.gateway.longest.record(x.grant.service, now.Sub(x.started), now)
		x.result = code.OK
		return true
	case resultCallerGone:
		x.finish(errCallerGone())
		return true
	case resultTimedOut:
		x.finish(code.New(code.DeadlineExceeded, "no response arrived within the timeout"))
		return true
	}
	if err := x.retryError(out); err != nil {
		x.recordRejected()
		x.finish(err)
		return true
	}
	return false
}

// retryError returns the reason why the request can't be retried at another endpoint, or nil.
func (c *call) retryError(out outcome) error {
	if c.callerLeft() {
		return errCallerGone()
	}
	if c.retryReserved {
		c.retryReserved = false
		return nil
	}
	if err := c.checkRepeat(out.err); err != nil {
		return err
	}
	if c.partlyAnswered() {
		return code.Wrap(out.err, code.AnswerIncomplete, "no other endpoint can complete the response")
	}
	if c.attempts >= maxAttempts {
		return code.Wrap(out.err, code.EndpointFault, "no further attempt is allowed")
	}
	if !out.unsent && !c.gateway.budget.Take(c.grant.service, clock.Now()) {
		return code.Wrap(out.err, code.RetryBudget, "the retry budget is exhausted")
	}
	return nil
}

// checkRepeat returns the reason why the route of the grant allows no further execution, or nil. cause is
// why the last attempt failed.
func (c *call) checkRepeat(cause error) error {
	switch route := c.grant.route; {
	case c.executions == 0:
		return nil
	case !route.Retryable():
		return code.Wrap(cause, code.OutcomeUnknown, "the request may have run")
	case c.executions >= route.MaxExecutions:
		return code.Wrap(cause, code.EndpointFault, "no further execution is allowed")
	default:
		return nil
	}
}

// errCallerGone returns the error of a request whose caller has disconnected.
func errCallerGone() error {
	return code.New(code.Canceled, "the caller has disconnected")
}

// reserveRetry reports whether the request may be sent to another endpoint if the current one is
// given up, and takes the retry from the budget then. If not, the grant stays as it is.
func (c *call) reserveRetry() bool {
	before := c.grant
	c.retryReserved = c.mayRetry() && c.gateway.budget.Take(c.grant.service, clock.Now())
	if !c.retryReserved {
		c.grant = before
	}
	return c.retryReserved
}

// mayRetry reports whether the newest data allow another attempt while one is in progress, at an
// endpoint that is not avoided itself and accepts a connection. It updates the grant.
func (c *call) mayRetry() bool {
	snapshot, now := c.gateway.tracker.Snapshot(), clock.Now()
	if c.checkPermitted(snapshot) != nil || c.lastExecution() || c.attempts >= maxAttempts {
		return false
	}
	if !c.gateway.budget.Allows(c.grant.service, now) {
		return false
	}
	pick, ok := c.choose(snapshot, now)
	return ok && !pick.Avoided && c.isReachable(pick)
}

// isReachable reports whether the picked endpoint accepts a connection, and keeps the connection for
// the attempt. An idle connection would not show that.
func (c *call) isReachable(pick choice.Pick) bool {
	conn, err := c.gateway.pool.Dial(c.r.Context(), pick.Endpoint.ID, pick.Endpoint.Address)
	if err == nil {
		c.gateway.pool.Put(conn)
		return true
	}
	if c.r.Context().Err() == nil {
		c.gateway.table.RecordUnreachable(pick.Endpoint.ID, err.Error(), clock.Now())
	}
	return false
}

// serviceHash returns the hash that distributes requests over the services of a route. All
// requests of a chat have the same hash.
func serviceHash(request *traffic.Request) uint64 {
	parts := request.Prompt.Parts
	if len(parts) > 1 {
		return parts[len(parts)-2].ID
	}
	return xxhash.Sum64String(request.ID)
}

// priority returns the priority of the request for the endpoint.
func (c *call) priority() int {
	if c.grant.workspace != nil && c.grant.workspace.HasPriority {
		return c.grant.workspace.Priority
	}
	return c.grant.route.Priority
}

const (
	// firstEventFactor and eventGapFactor determine how long an endpoint may stay silent before
	// another one is tried, as multiples of the latency objective and of the maximum event gap.
	firstEventFactor = 1.6
	eventGapFactor   = 2.2
	// responseFactor is the factor for responses that are not streams.
	responseFactor = 2.4
	// minProgressTimeout is the lower bound of these timeouts.
	minProgressTimeout = 350 * time.Millisecond
)

// progressTimeout returns how long the endpoint may take until the next part of the response
// before another one is tried. 0 means that only the caller's timeout applies.
func (c *call) progressTimeout() time.Duration {
	route := c.grant.route
	if c.lastExecution() {
		return 0
	}
	switch {
	case route.Stream && c.headerSent:
		return max(minProgressTimeout, scale(route.MaxEventGap, eventGapFactor))
	case route.Stream:
		return max(minProgressTimeout, scale(route.LatencyObjective, firstEventFactor))
	default:
		return max(minProgressTimeout, scale(route.LatencyObjective, responseFactor))
	}
}

// lastExecution reports whether the request must not be sent to another endpoint once the next
// one may have executed it.
func (c *call) lastExecution() bool {
	route := c.grant.route
	return !route.Retryable() || c.partlyAnswered() || c.executions+1 >= route.MaxExecutions
}

// partlyAnswered reports whether the caller has a part of a response that only the same endpoint can
// complete: one without events.
func (c *call) partlyAnswered() bool {
	return c.headerSent && c.events == 0
}

// scale returns the given share, or multiple, of a duration.
func scale(of time.Duration, share float64) time.Duration {
	return time.Duration(float64(of) * share)
}
