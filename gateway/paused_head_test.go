package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestLookupThatPausesBeforeALineEndIsAnsweredWhole guards against a body that begins with the line end of its head and lacks its last bytes: the
// endpoint paused before that line end, and its head was read on although the request had been handed over.
func TestLookupThatPausesBeforeALineEndIsAnsweredWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s"
	for name, first := range map[string]string{
		"length": head + "\r\nContent-Length: 5" + pauseMark + "\r\n\r\nright",
		"chunks": head + "\r\nTransfer-Encoding: chunked" + pauseMark + "\r\n\r\n5\r\nright\r\n0\r\n\r\n",
		"end":    head + pauseMark + "\r\n\r\nright" + closeMark,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			f.publishChanged(2, allowSlowMachine)
			e := f.replaceByScripted("plain", plainWorkers, first, wholeBody)
			got := f.ask(context.Background(), 1, query{path: "/lookup/1"})
			if got.status != http.StatusOK || got.body != "right" || !got.complete {
				t.Errorf("the caller got %d, %q, complete: %t", got.status, got.body, got.complete)
			}
			if count := e.received(got.id); count != 2 {
				t.Errorf("%d endpoints were asked, want 2", count)
			}
		})
	}
}

// headLines are the lines of the head of a stream.
var headLines = []string{
	"HTTP/1.1 200 OK\r\n", "Cardamompoint-Attempt-Id: $ID\r\n", "Cardamompoint-Response-Seal: s\r\n", "Content-Type: text/event-stream\r\n",
	"Transfer-Encoding: chunked\r\n",
}

// TestStreamThatPausesBetweenHeadLinesHasItsEvents guards against a complete 200 without an event: the endpoint paused after a line of its head, which
// was read on although the request had been handed over, and none of its events was forwarded.
func TestStreamThatPausesBetweenHeadLinesHasItsEvents(t *testing.T) {
	events := eventChunk(1) + eventChunk(2) + eventChunk(3) + eventChunk(4) + "0\r\n\r\n"
	for count := 1; count <= len(headLines); count++ {
		begin, rest := strings.Join(headLines[:count], ""), strings.Join(headLines[count:], "")
		t.Run(headLines[count-1], func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			f.publishChanged(2, allowSlowMachine)
			e := f.replaceByScripted("engines", engineIDs, begin+pauseMark+rest+"\r\n"+events, streamHead+"\r\n$REST"+closeMark)
			got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts})
			if got.status != http.StatusOK || got.body != eventsAfter("") || !got.complete {
				t.Errorf("the caller got %d, %q, complete: %t", got.status, got.body, got.complete)
			}
			if count := e.received(got.id); count != 2 {
				t.Errorf("%d endpoints were asked, want 2", count)
			}
		})
	}
}

// TestRequestLeavesAnEndpointThatIsSilentAfterAHeadLine guards against a request that stays at an endpoint which says nothing more until its time is
// over, although another one has taken it over.
func TestRequestLeavesAnEndpointThatIsSilentAfterAHeadLine(t *testing.T) {
	for name, first := range map[string]string{
		"after the status line": "HTTP/1.1 200 OK\r\n",
		"within a value":        "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Resp",
		"after a header":        "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\n",
		"before a line end":     "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\nContent-Length: 5",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			f.publishChanged(2, allowSlowMachine)
			f.replaceByScripted("plain", plainWorkers, first, wholeBody)
			if got := f.ask(context.Background(), 1, query{path: "/lookup/1"}); got.status != http.StatusOK || got.body != "right" {
				t.Errorf("the caller got %d, %q", got.status, got.body)
			}
		})
	}
}

// TestEndpointIsAbandonedOnceItsRequestIsHandedOver guards against two endpoints that work on one request, as the head of the first one is read on
// after the second has taken the request over, and against a third endpoint that is asked then.
func TestEndpointIsAbandonedOnceItsRequestIsHandedOver(t *testing.T) {
	f := newTestFleet(t, 1)
	f.publishChanged(2, allowSlowMachine)
	e := &abandonedEndpoints{abandoned: make(chan struct{})}
	f.replaceByRaw("engines", engineIDs, e.serve)
	f.addRaw("scripted-3", "engines", 122, e.serve)
	f.eventually("the third endpoint is known", func() bool { return len(f.gateways[0].tracker.Snapshot().Ready["engines"]) == 3 })
	got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts})
	if got.body != eventsAfter("") || !got.complete {
		t.Errorf("the caller got %d, %q, complete: %t", got.status, got.body, got.complete)
	}
	if count := e.requests.Load(); count != 2 {
		t.Errorf("%d endpoints were asked, want 2", count)
	}
}

// abandonedEndpoints are endpoints of which the first one that is asked falls silent after a line of its head. The others end their streams only after
// the connection of that one was closed.
type abandonedEndpoints struct {
	requests  atomic.Int32
	abandoned chan struct{}
}

// serve answers the first request on a connection.
func (e *abandonedEndpoints) serve(conn net.Conn) {
	const giveUp = 10 * time.Second
	defer conn.Close()
	id, ok := readCallersRequest(conn)
	if !ok {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead, "$ID", id))
	if e.requests.Add(1) == 1 {
		_, _ = io.Copy(io.Discard, conn)
		close(e.abandoned)
		return
	}
	_, _ = io.WriteString(conn, "\r\n"+scriptedEvent(1))
	select {
	case <-e.abandoned:
		_, _ = io.WriteString(conn, eventsAfter("1"))
	case <-time.After(giveUp):
	}
}
