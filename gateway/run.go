package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// maxAttempts bounds the endpoints that one request is sent to, also when they
// all say that they did not run it.
const maxAttempts = 5

// attemptResult tells what came of one attempt.
type attemptResult int

const (
	// resultDone means that the caller has the answer.
	resultDone attemptResult = iota
	// resultNotExecuted means that the endpoint did not run the request.
	resultNotExecuted
	// resultFailed means that the request may have run.
	resultFailed
	// resultTruncated means that the caller has a part of the answer.
	resultTruncated
	// resultCallerGone means that the caller is gone.
	resultCallerGone
	// resultTimedOut means that the caller's time is over.
	resultTimedOut
)

// String returns the fate's name in logs and metrics.
func (f attemptResult) String() string {
	return [...]string{"done", "not_run", "failed", "broken", "caller_gone", "late"}[f]
}

// attemptLabel is the label of the attempt in metrics.
func (c *call) attemptLabel() string {
	if c.attempts > 1 {
		return "retry"
	}
	return "first"
}

// run tries endpoints until the caller has an answer.
func (c *call) run() {
	c.gateway.budget.RecordRequest(c.grant.service, c.arrived)
	c.awaitPlaces()
	for {
		pick, err := c.nextEndpoint()
		if err != nil {
			c.recordRejected()
			c.finish(err)
			return
		}
		c.attempts++
		c.attemptStarted = clock.Now()
		out := c.attempt(pick)
		c.recordAttempt(pick, out, clock.Now().Sub(c.attemptStarted))
		c.gateway.metrics.CountAttempt(c.attemptLabel(), out.result.String())
		if out.result == resultFailed || out.result == resultTruncated {
			c.executions++
		}
		if out.refusedAsFull() {
			c.refusals++
		}
		if stop := c.finishAttempt(out); stop {
			return
		}
	}
}

// finishAttempt ends the call after an attempt, or reports that another one may be
// made.
func (c *call) finishAttempt(out outcome) (stop bool) {
	switch out.result {
	case resultDone:
		c.recordStreamTime()
		c.result = code.OK
		return true
	case resultCallerGone:
		c.result = code.Canceled
		return true
	case resultTimedOut:
		c.finish(code.New(code.DeadlineExceeded, "no answer came in time"))
		return true
	}
	if err := c.retryError(out); err != nil {
		c.recordRejected()
		c.finish(err)
		return true
	}
	return false
}

// retryError returns why the request can't be sent to another endpoint, or nil.
func (c *call) retryError(out outcome) error {
	if c.r.Context().Err() != nil {
		return code.New(code.Canceled, "the caller is gone")
	}
	route := c.grant.route
	if out.result != resultNotExecuted && !route.Retryable() {
		return code.Wrap(out.err, code.OutcomeUnknown, "the request may have run")
	}
	if c.executions >= route.MaxExecutions || c.attempts >= maxAttempts {
		return code.Wrap(out.err, code.EndpointFault, "no further endpoint may be tried")
	}
	if !out.unsent && !c.gateway.budget.Take(c.grant.service, clock.Now()) {
		return code.Wrap(out.err, code.RetryBudget, "the retry budget is used up")
	}
	return nil
}

// serviceHash spreads requests over a route's services; a chat stays with one.
func serviceHash(request *traffic.Request) uint64 {
	parts := request.Prompt.Parts
	if len(parts) > 1 {
		return parts[len(parts)-2].ID
	}
	return xxhash.Sum64String(request.ID)
}

// priority returns the rank that the endpoint is told.
func (c *call) priority() int {
	if c.grant.workspace != nil && c.grant.workspace.HasPriority {
		return c.grant.workspace.Priority
	}
	return c.grant.route.Priority
}

const (
	// firstEventFactor and eventGapFactor are how long an endpoint may be silent before
	// another one is tried, as parts of the objective and of the longest pause.
	firstEventFactor = 1.6
	eventGapFactor   = 2.2
	// responseFactor is the same for answers that are not streams.
	responseFactor = 2.4
	// minProgressTimeout bounds all of them.
	minProgressTimeout = 350 * time.Millisecond
)

// progressTimeout is how long the endpoint may take to the next piece of the answer
// before another one is tried; 0 means as long as the caller waits.
func (c *call) progressTimeout() time.Duration {
	route := c.grant.route
	if !route.Retryable() || c.executions+1 >= route.MaxExecutions {
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

func scale(of time.Duration, share float64) time.Duration {
	return time.Duration(float64(of) * share)
}
