package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/httpguard"
)

// call is the state of one caller's request.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	// conn is the caller's connection, nil if it is not known.
	conn *httpguard.Conn
	// arrived is when the request's first bytes arrived, readAt when its head had been read.
	arrived clock.Boot
	readAt  clock.Boot

	request traffic.Request
	// suspects are what may crash endpoints: the IDs of the parts of the prompt, or the fingerprint
	// of a request that has none.
	suspects []uint64
	body     []byte
	// bodyBytes is the quota reserved for the request body.
	bodyBytes int64
	// responseBytes is the quota reserved for buffered responses.
	responseBytes int64
	grant         grant

	// timeout bounds the time to respond to the caller; 0 means no limit.
	timeout time.Duration
	// triedEndpoints holds the IDs of the endpoints that were picked so far.
	triedEndpoints []string
	// prefillWaited is the total time that the request waited for a prefill of its shared
	// parts.
	prefillWaited time.Duration
	// locationWait is how long the request waited for the locations of its prompt's parts.
	locationWait time.Duration
	// attempts counts the endpoints to which the request was sent, executions those that may
	// have executed it.
	attempts   int
	executions int
	// sent reports whether the request was written to an endpoint.
	sent atomic.Bool
	// refusals counts the endpoints that refused the request because they were full.
	refusals int
	// retryReserved reports whether the next attempt was taken from the retry budget when its
	// predecessor was given up.
	retryReserved bool
	// successor is the exchange to which the request was handed over, nil if there is none.
	successor *exchange
	// lastFailure is the last failure response of an endpoint. It is delivered if no retry
	// succeeds.
	lastFailure *bufferedResponse
	// headerSent reports whether the response header was sent to the caller. lastEventID is the
	// ID of the last event that the caller has.
	headerSent  bool
	lastEventID []byte

	// firstEventAt is when the first event of a stream was forwarded.
	firstEventAt clock.Boot

	// events counts the forwarded events of a stream. longestGap is the longest time between
	// two of them.
	events      int
	lastEventAt clock.Boot
	longestGap  time.Duration

	// result, status and detail are for the log line; attemptRecords holds a record per attempt.
	result         code.Code
	status         int
	attemptRecords []attemptRecord
	detail         string
}

// callerLeft reports whether the caller has left.
func (c *call) callerLeft() bool {
	return c.r.Context().Err() != nil || c.conn != nil && c.conn.CallerLeft()
}

// grant is what a configuration version permits a request.
type grant struct {
	// version is the version of the configuration.
	version int64
	route   *traffic.Route
	// workspace is the workspace of the request's key, nil if the route requires no key.
	workspace *traffic.Workspace
	// service is the name of the service that gets the request.
	service string
}

// timeLeft returns how much of the caller's timeout is left. bounded is false if there is no
// timeout.
func (c *call) timeLeft() (left time.Duration, bounded bool) {
	if c.timeout <= 0 {
		return 0, false
	}
	return c.timeout - clock.Now().Sub(c.arrived), true
}
