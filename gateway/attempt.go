package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// outcome is what came of one attempt.
type outcome struct {
	fate fate
	// untouched tells that no byte reached the endpoint.
	untouched bool
	// status is the endpoint's, 0 if it did not answer.
	status int
	err    error
}

// wholeAnswer is an endpoint's answer that is kept until it is decided whether
// the caller gets it.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// asyncBody is the size from which a request is written beside the reading of
// the answer: an endpoint may answer before it has read a long body.
const asyncBody = 16 << 10

// headSize is the room for the head of a request, in bytes, that most need.
const headSize = 2 << 10

// exchange is one attempt at one endpoint.
type exchange struct {
	*call
	pick     choice.Pick
	work     *choice.Work
	conn     *upstream.Conn
	response *http.Response
	answer   platform.ResponseInfo
	sending  chan error
	// leftOver tells that a part of the answer was not read.
	leftOver bool
}

// attempt sends the request to one endpoint and passes the answer on.
func (c *call) attempt(pick choice.Pick) outcome {
	id := pick.Endpoint.ID
	table := c.gateway.table
	work := table.Begin(pick, &c.request.Prompt, clock.Now())
	defer work.End()
	x := &exchange{call: c, pick: pick, work: work}
	conn, err := c.connect(pick)
	if err != nil {
		if c.r.Context().Err() == nil {
			table.RecordUnreachable(id, err.Error(), clock.Now())
		}
		return x.failed(outcome{fate: fateNotRun, untouched: true, err: err})
	}
	x.conn = conn
	abandon := context.AfterFunc(c.r.Context(), conn.Close)
	came := x.exchange()
	if abandon() && x.readWhole(came) && x.sent() && conn.PrepareReuse(x.response, x.answer) {
		c.gateway.pool.Put(conn)
		c.gateway.metrics.Connection("kept")
		return came
	}
	conn.Close()
	c.gateway.metrics.Connection("closed")
	return came
}

// readWhole reports whether the endpoint's whole answer was read, so that nothing
// is left on the connection.
func (x *exchange) readWhole(came outcome) bool {
	if x.response == nil || x.leftOver {
		return false // The request was not sent, or its answer was not read to the end.
	}
	switch came.fate {
	case fateDone, fateNotRun:
		return true
	case fateFailed:
		return came.status != 0
	default:
		return false
	}
}

// connect returns a connection to the picked endpoint.
func (c *call) connect(pick choice.Pick) (*upstream.Conn, error) {
	began := clock.Now()
	conn, err := c.gateway.pool.Get(c.r.Context(), pick.Endpoint.ID, pick.Endpoint.Address)
	c.gateway.metrics.Connect(clock.Now().Sub(began))
	switch {
	case err != nil:
		c.gateway.metrics.Connection("failed")
	case conn.Reused():
		c.gateway.metrics.Connection("reused")
	default:
		c.gateway.metrics.Connection("opened")
	}
	return conn, err
}

// exchange sends the request and handles the answer.
func (x *exchange) exchange() outcome {
	if err := x.checkLease(); err != nil {
		return outcome{fate: fateNotRun, untouched: true, err: err}
	}
	if came, ok := x.send(); !ok {
		return came
	}
	x.expire(x.patience())
	sent := clock.Now()
	response, answer, err := x.conn.ReadResponse(x.r.Method, x.request.ID)
	if err != nil {
		return x.broken(err)
	}
	x.response, x.answer = response, answer
	x.gateway.metrics.FirstByte(clock.Now().Sub(sent))
	x.heed()
	return x.handle()
}

// heed takes in what the endpoint says of itself with an answer. The word of another
// instance at the address, or of an answer that is not sealed, does not count.
func (x *exchange) heed() {
	if x.answer.WrongInstance || x.unsealed() {
		return
	}
	now := clock.Now()
	table := x.gateway.table
	if x.answer.HasLoad {
		table.RecordLoad(x.pick.Endpoint.ID, x.answer.Load, now)
	}
	if x.answer.Leaving {
		table.RecordLeaving(x.pick.Endpoint, now)
	}
	if x.answer.RetryAfter > 0 {
		table.RecordBackoff(x.pick.Endpoint, now.Add(x.answer.RetryAfter), now)
	}
}

// unsealed reports whether a success lacks the endpoint's seal or was changed on the way.
func (x *exchange) unsealed() bool {
	return x.answer.Status < http.StatusMultipleChoices && (!x.answer.Sealed || x.answer.BodyEncoded)
}

// send writes the request. ok is false if that failed.
func (x *exchange) send() (came outcome, ok bool) {
	left, bounded := x.left()
	if bounded && left <= 0 {
		return outcome{fate: fateLate}, false
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
		LastEventID: string(x.lastEvent),
	}
	if x.pick.FetchFrom != nil {
		message.FetchAddress = x.pick.FetchFrom.Address
	}
	if x.grant.workspace != nil {
		message.Workspace = x.grant.workspace.Name
	}
	head := message.AppendHead(make([]byte, 0, headSize))
	x.expire(0)
	if len(head)+len(x.body) > asyncBody {
		x.sending = make(chan error, 1)
		go func(conn *upstream.Conn) {
			_, err := conn.Send(head, x.body)
			x.sending <- err
		}(x.conn)
		return outcome{}, true
	}
	sent, err := x.conn.Send(head, x.body)
	if err == nil {
		return outcome{}, true
	}
	if !sent {
		return x.failed(outcome{fate: fateNotRun, untouched: true, err: err}), false
	}
	return x.broken(err), false
}

// sent reports whether the whole request was written.
func (x *exchange) sent() bool {
	if x.sending == nil {
		return true
	}
	select {
	case err := <-x.sending:
		return err == nil
	default:
		return false
	}
}

// expire bounds the wait for the next piece by patience and by the caller's time.
func (x *exchange) expire(patience time.Duration) {
	left, bounded := x.left()
	wait := patience
	if bounded && (wait <= 0 || left < wait) {
		wait = max(left, time.Millisecond)
	}
	deadline := time.Time{}
	if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	if err := x.conn.SetDeadline(deadline); err != nil {
		x.detail = "the connection was closed meanwhile"
	}
}

// broken tells what a failed exchange means: the request may have run.
func (x *exchange) broken(err error) outcome {
	if x.r.Context().Err() != nil {
		return outcome{fate: fateGone, err: err}
	}
	if left, bounded := x.left(); bounded && left <= 0 {
		x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, true, clock.Now())
		return outcome{fate: fateLate, err: err}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.gateway.table.RecordUnreachable(x.pick.Endpoint.ID, err.Error(), clock.Now())
	} else {
		x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, true, clock.Now())
	}
	return outcome{fate: fateFailed, err: err}
}

func (x *exchange) failed(came outcome) outcome {
	if x.r.Context().Err() != nil {
		came.fate = fateGone
	}
	return came
}

// handle passes the answer on, or keeps it if another endpoint may do better.
func (x *exchange) handle() outcome {
	now := clock.Now()
	id := x.pick.Endpoint.ID
	switch {
	case x.answer.NotExecuted:
		if x.answer.WrongInstance {
			x.gateway.table.Avoid(id, now.Add(longAvoid))
		}
		err := x.dropBody()
		x.gateway.table.RecordOutcome(id, true, now)
		return outcome{fate: fateNotRun, status: x.answer.Status, err: statusError(x.answer.Status, err)}
	case x.unsealed():
		return x.broken(code.New(code.EndpointFault, "the answer is not sealed"))
	case x.answer.Status < http.StatusMultipleChoices && x.grant.route.Stream:
		return x.passStream()
	default:
		return x.passWhole()
	}
}

// longAvoid is how long an address that another endpoint has is left alone.
const longAvoid = 5 * time.Second

func statusError(status int, err error) error {
	if err != nil {
		return err
	}
	return code.New(code.EndpointFault, "the endpoint answered with status %d", status)
}

// dropTime bounds the time in which the body of a refusal is read to keep the connection.
const dropTime = 200 * time.Millisecond

// dropBody reads a refusal to its end. On an error the connection can't be kept.
func (x *exchange) dropBody() error {
	x.expire(dropTime)
	err := upstream.Discard(x.response)
	x.leftOver = err != nil
	return err
}
