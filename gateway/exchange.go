package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// exchange is one attempt at one endpoint.
type exchange struct {
	*call
	pick choice.Pick
	// number is the number of the attempt, from 1.
	number int
	// started is when the attempt began.
	started clock.Boot
	// sentAt is when the request was written, 0 if it was not. leftAt is when the VM noticed that the
	// caller had left, 0 if it has not.
	sentAt atomic.Int64
	leftAt atomic.Int64
	// silences counts the progress timeouts after which the attempt went on.
	silences int
	work     *choice.Work
	conn     *upstream.Conn
	// abandon stops the closing of the connection at the end of the caller's request. It returns false
	// if the connection is closed already.
	abandon  func() bool
	response *http.Response
	info     platform.ResponseInfo
	// writeDone receives the result of a concurrent write, nil if the request was written
	// before the response was read.
	writeDone chan error
	// resumedAfter is the ID of the event after which the endpoint was asked to go on.
	resumedAfter string
	// answering reports whether the endpoint has sent the first event of a stream.
	answering bool
	// suspected reports whether the endpoint has been silent for the progress timeout since its
	// last event.
	suspected bool
	// overtaken reports whether the endpoint whose request this one was to take over went on first.
	overtaken bool
	// unreadBody reports whether a part of the response body was not read.
	unreadBody bool
	// answerBegan is when the endpoint sent the first bytes of an answer's body. proved reports
	// whether the prompt is recorded as one that does not crash the endpoint.
	answerBegan clock.Boot
	proved      bool
}

// asyncWriteBytes is the request size from which the request is written concurrently with
// reading the response: an endpoint may respond before it has read a long body.
const asyncWriteBytes = 16 << 10

// headerCapacity is the initial buffer capacity, in bytes, for a request line and header. Most
// of them fit into it.
const headerCapacity = 2 << 10

// roundTrip sends the request and reads the header of the response. The read times out after patience, unless
// onTimeout lets it go on. ok is false if there is no response; out is then the outcome.
func (x *exchange) roundTrip(onTimeout upstream.TimeoutFunc, patience time.Duration) (out outcome, ok bool) {
	if err := x.checkEndpoint(); err != nil {
		return outcome{result: resultNotExecuted, unsent: true, err: err}, false
	}
	if out, ok := x.send(); !ok {
		return out, false
	}
	x.conn.OnReadTimeout(onTimeout)
	x.setReadDeadline(patience)
	sentAt := clock.Now()
	response, info, err := x.conn.ReadResponse(x.r.Method, x.request.ID)
	if err := x.checkHandover(err); err != nil {
		return x.classifyError(err), false
	}
	x.response, x.info = response, info
	x.gateway.metrics.ObserveFirstByte(clock.Now().Sub(sentAt))
	x.recordFeedback()
	return outcome{}, true
}

// checkBeforeSend returns the reason why the request must not be sent any more, or nil: time has
// passed since the endpoint was picked.
func (c *call) checkBeforeSend() error {
	if err := c.checkLease(); err != nil {
		return err
	}
	return c.checkShutdown()
}

// checkEndpoint returns the reason why the picked endpoint must not get the request any more, or nil.
func (x *exchange) checkEndpoint() error {
	if x.gateway.tracker.Snapshot().IsEvacuated(x.pick.Endpoint) {
		return code.New(code.NoEndpoint, "the failure domain of the endpoint was evacuated")
	}
	return x.checkBeforeSend()
}

// send writes the request. ok is false if the write failed; out is then the outcome.
func (x *exchange) send() (out outcome, ok bool) {
	left, bounded := x.timeLeft()
	if bounded && left <= 0 {
		return outcome{result: resultTimedOut}, false
	}
	x.resumedAfter = string(x.lastEventID)
	message := x.newEndpointRequest(left)
	head := message.AppendHead(make([]byte, 0, headerCapacity))
	x.setDeadline()
	if len(head)+len(x.body) > asyncWriteBytes {
		x.sendAsync(head)
		return outcome{}, true
	}
	sent, err := x.write(head)
	if err == nil {
		return outcome{}, true
	}
	if !sent {
		return x.checkCaller(outcome{result: resultNotExecuted, unsent: true, err: err}), false
	}
	return x.classifyError(err), false
}

// sendAsync writes the request concurrently. writeDone receives the result.
func (x *exchange) sendAsync(head []byte) {
	x.writeDone = make(chan error, 1)
	go func(conn *upstream.Conn) {
		sent, err := x.write(head)
		if err != nil && !sent {
			conn.Close() // No answer is to be awaited.
		}
		x.writeDone <- err
	}(x.conn)
}

// write writes the request, unless the caller has left: it may have done so before the request was read.
func (x *exchange) write(head []byte) (sent bool, err error) {
	if x.callerLeft() {
		return false, errCallerGone()
	}
	x.sentAt.Store(int64(clock.Now()))
	x.sent.Store(true)
	return x.conn.Send(head, x.body)
}

// newEndpointRequest returns the request to send. left is the time that the caller has left.
func (x *exchange) newEndpointRequest(left time.Duration) platform.EndpointRequest {
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
		LastEventID: x.resumedAfter,
	}
	if x.pick.FetchFrom != nil {
		message.FetchAddress = x.pick.FetchFrom.Address
	}
	if x.grant.workspace != nil {
		message.Workspace = x.grant.workspace.Name
	}
	return message
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
