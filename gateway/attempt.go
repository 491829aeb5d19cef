package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// outcome is the outcome of one attempt.
type outcome struct {
	result attemptResult
	// unsent reports whether no byte of the request reached the endpoint.
	unsent bool
	// status is the status of the endpoint's response, 0 if there was none.
	status int
	err    error
}

// bufferedResponse is a complete response of an endpoint, held until the gateway decides
// whether to deliver it to the caller or to retry.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// asyncWriteBytes is the request size from which the request is written concurrently with
// reading the response: an endpoint may respond before it has read a long body.
const asyncWriteBytes = 16 << 10

// headerCapacity is the initial buffer capacity, in bytes, for a request line and header. Most
// of them fit into it.
const headerCapacity = 2 << 10

// exchange is one attempt at one endpoint.
type exchange struct {
	*call
	pick     choice.Pick
	work     *choice.Work
	conn     *upstream.Conn
	response *http.Response
	info     platform.ResponseInfo
	// writeDone receives the result of a concurrent write, nil if the request was written
	// before the response was read.
	writeDone chan error
	// answering reports whether the endpoint has sent the first event of a stream.
	answering bool
	// unreadBody reports whether a part of the response body was not read.
	unreadBody bool
	// answerBegan is when the endpoint sent the first bytes of an answer's body. proved reports
	// whether the prompt is recorded as one that does not crash the endpoint.
	answerBegan clock.Boot
	proved      bool
}

// attempt sends the request to the picked endpoint and forwards the response.
func (c *call) attempt(pick choice.Pick) outcome {
	id := pick.Endpoint.ID
	table := c.gateway.table
	work := table.Begin(pick, &c.request.Prompt, clock.Now())
	c.gateway.limits.Take(pick.Endpoint, clock.Now())
	defer work.End()
	x := &exchange{call: c, pick: pick, work: work}
	conn, err := c.connect(pick)
	if err != nil {
		if c.r.Context().Err() == nil {
			table.RecordUnreachable(id, err.Error(), clock.Now())
		}
		return x.checkCaller(outcome{result: resultNotExecuted, unsent: true, err: err})
	}
	x.conn = conn
	abandon := context.AfterFunc(c.r.Context(), conn.Close)
	out := x.roundTrip()
	if abandon() && x.fullyRead(out) && x.requestWritten() && conn.PrepareReuse(x.response, x.info) {
		c.gateway.pool.Put(conn)
		c.gateway.metrics.CountConnection("kept")
		return out
	}
	conn.Close()
	c.gateway.metrics.CountConnection("closed")
	return out
}

// fullyRead reports whether the complete response was read, so that no bytes are left on the
// connection.
func (x *exchange) fullyRead(out outcome) bool {
	if x.response == nil || x.unreadBody {
		return false // The request was not sent, or its response was not read to the end.
	}
	switch out.result {
	case resultDone, resultNotExecuted:
		return true
	case resultFailed:
		return out.status != 0
	default:
		return false
	}
}

// connect returns a connection to the picked endpoint.
func (c *call) connect(pick choice.Pick) (*upstream.Conn, error) {
	began := clock.Now()
	conn, err := c.gateway.pool.Get(c.r.Context(), pick.Endpoint.ID, pick.Endpoint.Address)
	c.gateway.metrics.ObserveConnect(clock.Now().Sub(began))
	switch {
	case err != nil:
		c.gateway.metrics.CountConnection("failed")
	case conn.Reused():
		c.gateway.metrics.CountConnection("reused")
	default:
		c.gateway.metrics.CountConnection("opened")
	}
	return conn, err
}

// roundTrip sends the request and handles the response.
func (x *exchange) roundTrip() outcome {
	if err := x.checkBeforeSend(); err != nil {
		return outcome{result: resultNotExecuted, unsent: true, err: err}
	}
	if out, ok := x.send(); !ok {
		return out
	}
	x.conn.OnReadTimeout(x.waitLonger)
	x.setReadDeadline(x.progressTimeout())
	sentAt := clock.Now()
	response, info, err := x.conn.ReadResponse(x.r.Method, x.request.ID)
	if err != nil {
		return x.classifyError(err)
	}
	x.response, x.info = response, info
	x.gateway.metrics.ObserveFirstByte(clock.Now().Sub(sentAt))
	x.recordFeedback()
	return x.handleResponse()
}

// checkBeforeSend returns the reason why the request must not be sent any more, or nil: time has
// passed since the endpoint was picked.
func (c *call) checkBeforeSend() error {
	if err := c.checkLease(); err != nil {
		return err
	}
	return c.checkShutdown()
}

// recordFeedback records the load, the backoff, the limit and the shutdown that the endpoint
// announces with its response. It ignores responses from another instance at the address, and
// unsealed responses.
func (x *exchange) recordFeedback() {
	if x.info.WrongInstance || x.unsealed() {
		return
	}
	now := clock.Now()
	table := x.gateway.table
	if x.info.HasLoad {
		table.RecordLoad(x.pick.Endpoint.ID, x.info.Load, now)
	}
	if x.info.Leaving {
		table.RecordLeaving(x.pick.Endpoint, now)
	}
	x.gateway.limits.RecordAnswer(x.pick.Endpoint, x.info.Limit, x.info.HasLimit, x.attemptStarted, now)
	if x.info.RetryAfter > 0 {
		table.RecordBackoff(x.pick.Endpoint, now.Add(x.info.RetryAfter), now)
	}
}

// unsealed reports whether a success response lacks the endpoint's seal or was modified on the
// way.
func (x *exchange) unsealed() bool {
	return x.info.Status < http.StatusMultipleChoices && (!x.info.Sealed || x.info.BodyEncoded)
}

// send writes the request. ok is false if the write failed; out is then the outcome.
func (x *exchange) send() (out outcome, ok bool) {
	left, bounded := x.timeLeft()
	if bounded && left <= 0 {
		return outcome{result: resultTimedOut}, false
	}
	message := platform.EndpointRequest{
		Method:      x.r.Method,
		Target:      x.r.RequestURI,
		Host:        x.r.Host,
		Header:      x.r.Header,
		BodyBytes:   len(x.body),
		HasBody:     x.body != nil || x.r.ContentLength == 0 && x.r.Method != http.MethodGet,
		Instance:    x.pick.Endpoint.ID,
		Timeout:     left,
		Priority:    x.priority(),
		LastEventID: string(x.lastEventID),
	}
	if x.pick.FetchFrom != nil {
		message.FetchAddress = x.pick.FetchFrom.Address
	}
	if x.grant.workspace != nil {
		message.Workspace = x.grant.workspace.Name
	}
	head := message.AppendHead(make([]byte, 0, headerCapacity))
	x.setDeadline()
	if len(head)+len(x.body) > asyncWriteBytes {
		x.writeDone = make(chan error, 1)
		go func(conn *upstream.Conn) {
			_, err := conn.Send(head, x.body)
			x.writeDone <- err
		}(x.conn)
		return outcome{}, true
	}
	sent, err := x.conn.Send(head, x.body)
	if err == nil {
		return outcome{}, true
	}
	if !sent {
		return x.checkCaller(outcome{result: resultNotExecuted, unsent: true, err: err}), false
	}
	return x.classifyError(err), false
}

// requestWritten reports whether the complete request was written.
func (x *exchange) requestWritten() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false
	}
}

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
// timeout, or the zero time if the request is to be sent to another endpoint instead. An endpoint
// is given up only for another one that may be tried.
func (x *exchange) waitLonger(arrived bool) time.Time {
	if left, bounded := x.timeLeft(); bounded && left <= 0 || x.r.Context().Err() != nil {
		return time.Time{}
	}
	if arrived {
		return time.Now().Add(lateReadTime)
	}
	if x.reserveRetry() {
		return time.Time{}
	}
	x.silences++
	x.gateway.table.RecordUnreachable(x.pick.Endpoint.ID, "silent, and no other endpoint may be tried", clock.Now())
	return x.deadlineAfter(x.progressTimeout())
}

// classifyError returns the outcome of a failed exchange in which the request may have been
// executed.
func (x *exchange) classifyError(err error) outcome {
	if x.r.Context().Err() != nil {
		return outcome{result: resultCallerGone, err: err}
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
	if x.r.Context().Err() != nil {
		out.result = resultCallerGone
	}
	return out
}

// handleResponse forwards the response, or holds it if another endpoint may still succeed.
func (x *exchange) handleResponse() outcome {
	now := clock.Now()
	id := x.pick.Endpoint.ID
	switch {
	case x.info.NotExecuted:
		if x.info.WrongInstance {
			x.gateway.table.Avoid(id, now.Add(wrongInstanceAvoidTime))
		}
		err := x.discardBody()
		x.gateway.table.RecordOutcome(id, true, now)
		return outcome{result: resultNotExecuted, status: x.info.Status, err: statusError(x.info.Status, err)}
	case x.unsealed():
		return x.classifyError(code.New(code.EndpointFault, "the response is not sealed"))
	case x.headerSent && !x.continuesStream():
		x.unreadBody = true
		return x.classifyError(code.New(code.EndpointFault, "the endpoint answered with status %d instead of the rest of the stream", x.info.Status))
	case x.info.Status < http.StatusMultipleChoices && x.grant.route.Stream:
		return x.forwardStream()
	default:
		return x.forwardBuffered()
	}
}

// continuesStream reports whether the response can be the rest of the stream that the caller has
// the beginning of.
func (x *exchange) continuesStream() bool {
	return x.info.Status == x.status && mediaType(x.response.Header) == mediaType(x.w.Header())
}

// mediaType returns the media type of a response without its parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get(headerContentType), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// headerContentType names the media type of a response.
const headerContentType = "Content-Type"

// wrongInstanceAvoidTime is how long an endpoint is avoided after another instance responded at
// its address.
const wrongInstanceAvoidTime = 5 * time.Second

// statusError returns err, or an error for the endpoint's status if err is nil.
func statusError(status int, err error) error {
	if err != nil {
		return err
	}
	return code.New(code.EndpointFault, "the endpoint answered with status %d", status)
}

// discardTimeout bounds the time to discard the body of a refusal, which keeps the connection
// usable.
const discardTimeout = 200 * time.Millisecond

// discardBody reads the body of a refusal to its end. After an error the connection can't be
// reused.
func (x *exchange) discardBody() error {
	x.conn.OnReadTimeout(nil)
	x.setReadDeadline(discardTimeout)
	err := upstream.Discard(x.response)
	x.unreadBody = err != nil
	return err
}
