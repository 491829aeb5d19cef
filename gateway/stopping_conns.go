package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// firstRequestWait is how long a connection without a request is kept for its first one, as
	// in http.Server.Shutdown.
	firstRequestWait = 5 * time.Second
	// retireTime is the time before the end of a stop in which connections without a request are
	// closed, so that requests that cross the close are noticed.
	retireTime = 600 * time.Millisecond
	// requestPoll is the interval between two checks for requests that are to arrive.
	requestPoll = 20 * time.Millisecond
)

// awaitRequests waits until no request is in progress and no connection waits for its first one, or the
// plan is about to end. Idle connections stay open meanwhile: a request that is on its way to one gets
// a response, which ends the connection.
func (c callerConns) awaitRequests(plan *shutdownPlan) {
	end := plan.end.Add(-retireTime)
	for now := clock.Now(); now < end && c.expectsRequests(now); now = clock.Now() {
		time.Sleep(requestPoll)
	}
}

// expectsRequests reports whether a request is in progress, or a first one may still arrive.
func (c callerConns) expectsRequests(now clock.Boot) bool {
	return c.open.count() > c.idle.count() || c.idle.countUnused(now.Add(-firstRequestWait)) > 0
}

// retireAll retires the connections without a request and waits until they are closed, or the plan ends.
// http.Server.SetKeepAlivesEnabled and Shutdown would close them at once.
func (c callerConns) retireAll(plan *shutdownPlan) {
	for c.idle.retireQuiet() > 0 && clock.Now() < plan.end {
		time.Sleep(requestPoll)
	}
}
