package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// maxSends bounds the endpoints that one request is sent to, also when they
// all say that they did not run it.
const maxSends = 5

// fate tells what came of one attempt.
type fate int

const (
	// fateDone means that the caller has the answer.
	fateDone fate = iota
	// fateNotRun means that the endpoint did not run the request.
	fateNotRun
	// fateFailed means that the request may have run.
	fateFailed
	// fateBroken means that the caller has a part of the answer.
	fateBroken
	// fateGone means that the caller is gone.
	fateGone
	// fateLate means that the caller's time is over.
	fateLate
)

// String returns the fate's name in logs and metrics.
func (f fate) String() string {
	return [...]string{"done", "not_run", "failed", "broken", "caller_gone", "late"}[f]
}

// attemptName is the label of the attempt in metrics.
func (c *call) attemptName() string {
	if c.sends > 1 {
		return "retry"
	}
	return "first"
}

// run tries endpoints until the caller has an answer.
func (c *call) run() {
	c.gateway.budget.RecordRequest(c.grant.service, c.arrived)
	c.awaitPlaces()
	for {
		pick, err := c.next()
		if err != nil {
			c.countLost()
			c.finish(err)
			return
		}
		c.sends++
		c.began = clock.Now()
		came := c.attempt(pick)
		c.note(pick, came, clock.Now().Sub(c.began))
		c.gateway.metrics.Send(c.attemptName(), came.fate.String())
		if came.fate == fateFailed || came.fate == fateBroken {
			c.runs++
		}
		if came.turnedAway() {
			c.turnedAway++
		}
		if stop := c.settle(came); stop {
			return
		}
	}
}

// settle ends the call after an attempt, or reports that another one may be
// made.
func (c *call) settle(came outcome) (stop bool) {
	switch came.fate {
	case fateDone:
		c.countRun()
		c.result = code.OK
		return true
	case fateGone:
		c.result = code.Canceled
		return true
	case fateLate:
		c.finish(code.New(code.DeadlineExceeded, "no answer came in time"))
		return true
	}
	if err := c.mayTryAgain(came); err != nil {
		c.countLost()
		c.finish(err)
		return true
	}
	return false
}

// mayTryAgain returns why the request can't be sent to another endpoint, or nil.
func (c *call) mayTryAgain(came outcome) error {
	if c.r.Context().Err() != nil {
		return code.New(code.Canceled, "the caller is gone")
	}
	route := c.grant.route
	if came.fate != fateNotRun && !route.Retryable() {
		return code.Wrap(came.err, code.OutcomeUnknown, "the request may have run")
	}
	if c.runs >= route.MaxExecutions || c.sends >= maxSends {
		return code.Wrap(came.err, code.EndpointFault, "no further endpoint may be tried")
	}
	if !came.untouched && !c.gateway.budget.Take(c.grant.service, clock.Now()) {
		return code.Wrap(came.err, code.RetryBudget, "the retry budget is used up")
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
	// firstEventPart and pausePart are how long an endpoint may be silent before
	// another one is tried, as parts of the objective and of the longest pause.
	firstEventPart = 1.6
	pausePart      = 2.2
	// wholeAnswerPart is the same for answers that are not streams.
	wholeAnswerPart = 2.4
	// leastPatience bounds all of them.
	leastPatience = 350 * time.Millisecond
)

// patience is how long the endpoint may take to the next piece of the answer
// before another one is tried; 0 means as long as the caller waits.
func (c *call) patience() time.Duration {
	route := c.grant.route
	if !route.Retryable() || c.runs+1 >= route.MaxExecutions {
		return 0
	}
	switch {
	case route.Stream && c.streaming:
		return max(leastPatience, part(route.MaxEventGap, pausePart))
	case route.Stream:
		return max(leastPatience, part(route.LatencyObjective, firstEventPart))
	default:
		return max(leastPatience, part(route.LatencyObjective, wholeAnswerPart))
	}
}

func part(of time.Duration, share float64) time.Duration {
	return time.Duration(float64(of) * share)
}
