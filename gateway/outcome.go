package gateway

import (
	"errors"
	"os"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// outcome is the outcome of one attempt.
type outcome struct {
	result attemptResult
	// handover reports whether the request was to be handed over to the endpoint, and was not.
	handover bool
	// unsent reports whether no byte of the request reached the endpoint.
	unsent bool
	// status is the status of the endpoint's response, 0 if there was none.
	status int
	err    error
	// wasIdle reports whether the connection waited in the pool, idleFor for how long, and stale
	// whether the endpoint seems to have given it up.
	wasIdle bool
	idleFor time.Duration
	stale   bool
}

// classifyError returns the outcome of a failed exchange in which the request may have been
// executed.
func (x *exchange) classifyError(err error) outcome {
	if x.callerLeft() {
		return outcome{result: resultCallerGone, err: err}
	}
	if x.overtaken {
		return outcome{result: resultFailed, err: err}
	}
	if left, bounded := x.timeLeft(); bounded && left <= 0 {
		x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, true, clock.Now())
		return outcome{result: resultTimedOut, err: err}
	}
	x.recordBroken(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.gateway.table.RecordUnreachable(x.pick.Endpoint.ID, err.Error(), clock.Now())
	} else {
		x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, true, clock.Now())
	}
	return outcome{result: resultFailed, err: err}
}

// checkCaller changes the result of out to resultCallerGone if the caller has disconnected.
func (x *exchange) checkCaller(out outcome) outcome {
	if x.callerLeft() {
		out.result = resultCallerGone
	}
	return out
}

// statusError returns err, or an error for the endpoint's status if err is nil.
func statusError(status int, err error) error {
	if err != nil {
		return err
	}
	return code.New(code.EndpointFault, "the endpoint answered with status %d", status)
}
