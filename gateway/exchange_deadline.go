package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// setDeadline sets the deadline for reads and writes to the end of the caller's time.
func (x *exchange) setDeadline() {
	if err := x.conn.SetDeadline(x.deadlineAfter(0)); err != nil {
		x.detail = connClosed
	}
}

// setReadDeadline sets the deadline for the next reads: after progressTimeout, but at the latest
// when the caller's time is up. A progressTimeout of 0 means that only the caller's time counts.
func (x *exchange) setReadDeadline(progressTimeout time.Duration) {
	if err := x.conn.SetReadDeadline(x.deadlineAfter(progressTimeout)); err != nil {
		x.detail = connClosed
	}
}

// connClosed is the detail of a request whose connection to the endpoint was closed before.
const connClosed = "the connection was already closed"

// deadlineAfter returns the time after wait, or the end of the caller's time if that is earlier. A
// wait of 0 has no end.
func (x *exchange) deadlineAfter(wait time.Duration) time.Time {
	left, bounded := x.timeLeft()
	if bounded && (wait <= 0 || left < wait) {
		wait = max(left, time.Millisecond)
	}
	if wait <= 0 {
		return time.Time{}
	}
	return time.Now().Add(wait)
}

// lateReadTime is the time to read bytes that arrived in time but were not read in time.
const lateReadTime = 10 * time.Millisecond

// waitLonger returns until when to wait on for an endpoint that has been silent for the progress
// timeout, or the zero time if the request is to be sent to another endpoint instead, or has been. Other requests
// avoid the endpoint at once. This one stays for a while longer, and then leaves only for an endpoint
// that may be tried.
func (x *exchange) waitLonger(arrived bool) time.Time {
	if x.successor != nil {
		return time.Time{}
	}
	if left, bounded := x.timeLeft(); bounded && left <= 0 || x.callerLeft() {
		return time.Time{}
	}
	if arrived {
		return time.Now().Add(lateReadTime)
	}
	if wait := x.patience(); wait > 0 && !x.suspected {
		x.suspected = true
		x.gateway.table.RecordUnreachable(x.pick.Endpoint.ID, "silent in the middle of a stream", clock.Now())
		return x.deadlineAfter(wait)
	}
	if x.handOver() {
		return time.Time{}
	}
	x.silences++
	x.gateway.table.RecordUnreachable(x.pick.Endpoint.ID, "silent, and no other endpoint may be tried", clock.Now())
	return x.deadlineAfter(x.nextLook())
}

// unboundedWait is the interval between two looks at a silent endpoint if neither the caller nor the route
// bounds the time and no other endpoint may be tried.
const unboundedWait = 5 * time.Second

// nextLook returns after which time a silent endpoint that is waited for is looked at again. 0 means at the
// end of the caller's time.
func (x *exchange) nextLook() time.Duration {
	if wait := x.progressTimeout(); wait > 0 || x.timeout > 0 {
		return wait
	}
	return unboundedWait
}

const (
	// minGiveUpTime is how long an endpoint may be silent between two events before another one
	// continues the stream.
	minGiveUpTime = 1800 * time.Millisecond
	// patienceShare is the largest share of the caller's remaining time that is spent waiting for
	// a suspected endpoint. Another one needs the rest.
	patienceShare = 0.5
)

// patience returns how long a request stays at an endpoint that has been silent for the progress
// timeout.
func (x *exchange) patience() time.Duration {
	suspectedAfter := x.progressTimeout()
	if suspectedAfter == 0 || !x.grant.route.Stream || !x.headerSent {
		return 0
	}
	wait := minGiveUpTime - suspectedAfter
	if left, bounded := x.timeLeft(); bounded {
		wait = min(wait, scale(left, patienceShare))
	}
	return max(0, wait)
}
