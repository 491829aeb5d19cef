package gateway

import (
	"net/http"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
)

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
	case x.info.UnconfirmedRefusal():
		return x.failUnconfirmed()
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

// failUnconfirmed returns the outcome of a response whose status promises that the request was not executed,
// although the endpoint does not say so. The caller must not get it: the request may have been executed.
func (x *exchange) failUnconfirmed() outcome {
	status := x.info.Status
	x.gateway.metrics.CountUnconfirmedRefusal()
	x.gateway.table.RecordOutcome(x.pick.Endpoint.ID, true, clock.Now())
	_ = x.discardBody() // After an error the connection is not used again, nothing else.
	err := code.New(code.EndpointFault, "the endpoint answered with status %d, but does not say that it did not run the request", status)
	return x.checkCaller(outcome{result: resultFailed, status: status, err: err})
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
