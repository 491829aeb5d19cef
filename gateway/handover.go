package gateway

import (
	"net/http"
	"os"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// handoverPoll is the interval at which a silent endpoint is looked at while another one is asked to take
// its request over.
const handoverPoll = 50 * time.Millisecond

// handOver sends the request to another endpoint while this one, which is silent, goes on being awaited. It
// returns true if the other one has begun to answer: the next attempt continues there. If the other one
// refuses or fails, or this one goes on first, it returns false and the request stays.
func (x *exchange) handOver() bool {
	before := x.grant
	if !x.reserveRetry() {
		return false
	}
	next, out, ok := x.askSuccessor()
	if ok {
		x.successor = next
		return true
	}
	x.retryReserved, x.grant = false, before
	if next != nil {
		next.endUnused(out)
	}
	return false
}

// askSuccessor sends the request, or the rest of a stream's, to another endpoint. ok reports whether that
// endpoint has begun to answer; out is the outcome if not. next is nil if no endpoint was asked.
func (x *exchange) askSuccessor() (next *exchange, out outcome, ok bool) {
	attempts, tried := x.attempts, x.triedEndpoints
	next, err := x.newExchange()
	if err != nil {
		return nil, outcome{}, false
	}
	if next.lastExecution() || x.conn.HasInput() {
		// The newest data forbid a second execution, or none is needed any more. A later attempt may go
		// to the endpoint that was picked.
		x.attempts, x.triedEndpoints = attempts, tried
		return nil, outcome{}, false
	}
	if out, ok := next.begin(); !ok {
		return next, out, false
	}
	out, ok = next.roundTrip(next.awaitHandover(x, next.handoverTimeout()), handoverPoll)
	switch {
	case !ok:
		return next, out, false
	case next.takesOver():
		return next, outcome{}, true
	default:
		return next, next.decline(), false
	}
}

// decline returns the outcome of an endpoint whose response can't take the request over. Nothing of the
// response reaches the caller.
func (x *exchange) decline() outcome {
	if x.info.NotExecuted {
		return x.handleResponse()
	}
	x.unreadBody = true
	return x.classifyError(code.New(code.EndpointFault, "the endpoint answered with status %d", x.info.Status))
}

// takesOver reports whether the endpoint's response can be the caller's, or the rest of the stream of which
// the caller has a part.
func (x *exchange) takesOver() bool {
	switch {
	case x.info.NotExecuted || x.info.UnconfirmedRefusal() || x.unsealed():
		return false
	case x.headerSent:
		return x.continuesStream()
	default:
		return x.info.Status < http.StatusInternalServerError
	}
}

// endUnused ends an exchange to which the request was not handed over.
func (x *exchange) endUnused(out outcome) {
	x.end(&out)
	out.handover = true
	x.record(out)
}

// checkHandover returns err, the result of a read of the response, or an error if the request was handed over during the
// read. The response is not the caller's then, even if the read has not failed.
func (x *exchange) checkHandover(err error) error {
	if x.successor == nil {
		return err
	}
	return code.Wrap(os.ErrDeadlineExceeded, code.EndpointFault, "the request was handed over to another endpoint")
}

// takeSuccessor returns the exchange to which the request was handed over, nil if there is none.
func (c *call) takeSuccessor() *exchange {
	next := c.successor
	c.successor = nil
	return next
}

// dropSuccessor ends the exchange to which the request was handed over, if the call ends before.
func (c *call) dropSuccessor() {
	if next := c.takeSuccessor(); next != nil {
		next.endUnused(outcome{result: resultCallerGone})
	}
}

// handoverTimeout returns how long another endpoint may take to begin its answer, 0 if no further one may be
// tried after it: both the silent one and this one may have executed the request.
func (x *exchange) handoverTimeout() time.Duration {
	if x.executions+2 >= x.grant.route.MaxExecutions || x.attempts >= maxAttempts {
		return 0
	}
	if !x.headerSent {
		return x.progressTimeout()
	}
	return max(minProgressTimeout, scale(x.grant.route.LatencyObjective, firstEventFactor))
}

// awaitHandover returns the function that decides how long this endpoint may take to begin its answer: until
// the previous one goes on itself, or for limit; 0 means no limit.
func (x *exchange) awaitHandover(previous *exchange, limit time.Duration) upstream.TimeoutFunc {
	began := clock.Now()
	return func(arrived bool) time.Time {
		left, bounded := x.timeLeft()
		x.overtaken = !arrived && previous.conn.HasInput()
		switch {
		case arrived:
			return time.Now().Add(lateReadTime)
		case x.overtaken, bounded && left <= 0, x.callerLeft():
			return time.Time{}
		case limit > 0 && clock.Now().Sub(began) >= limit && !previous.conn.HasEnded():
			return time.Time{}
		default:
			return x.deadlineAfter(handoverPoll)
		}
	}
}
