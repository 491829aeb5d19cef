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

// awaitRequests waits until no request is in progress, no connection waits for its first one, and callers
// no longer use idle connections, which keepAlive was announced for, or the plan is about to end. Idle
// connections stay open meanwhile: a request that is on its way to one gets a response, which ends the
// connection.
func (c callerConns) awaitRequests(plan *shutdownPlan, keepAlive time.Duration) {
	end := plan.end.Add(-retireTime)
	for now := clock.Now(); now < end && c.expectsRequests(now, keepAlive); now = clock.Now() {
		time.Sleep(requestPoll)
	}
}

// expectsRequests reports whether a request is in progress, or one may still arrive.
func (c callerConns) expectsRequests(now clock.Boot, keepAlive time.Duration) bool {
	return c.open.count() > c.idle.count() ||
		c.idle.countSince(now.Add(-firstRequestWait), true) > 0 ||
		c.idle.countSince(now.Add(-keepAlive-keepAliveMargin), false) > 0
}

// retireAll retires the connections without a request and waits until they are closed, or the plan ends.
// http.Server.SetKeepAlivesEnabled and Shutdown would close them at once.
func (c callerConns) retireAll(plan *shutdownPlan) {
	for c.idle.retireQuiet() > 0 && clock.Now() < plan.end {
		time.Sleep(requestPoll)
	}
}
