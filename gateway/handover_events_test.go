package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// eventChunk returns an event of a scripted stream as a chunk.
func eventChunk(number int) string {
	event := scriptedEvent(number)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// silentWithinAChunk are answers whose endpoint falls silent in the middle of a chunk.
var silentWithinAChunk = map[string]string{
	"after the size of a chunk":          eventChunk(1) + "20\r\n",
	"after the size of the second chunk": eventChunk(1) + eventChunk(2) + "20\r\n",
	"within the size of a chunk":         eventChunk(1) + eventChunk(2) + "2",
	"after the size of the last chunk":   eventChunk(1) + eventChunk(2) + eventChunk(3) + eventChunk(4) + "0\r\n",
	"within an event":                    eventChunk(1) + eventChunk(2) + "20\r\nid: 3\ndata: pie",
}

// TestHandedOverStreamHasEachEventOnce guards against an event that comes twice, as its endpoint fell silent in the middle of the next chunk and the stream went on elsewhere.
func TestHandedOverStreamHasEachEventOnce(t *testing.T) {
	for name, chunks := range silentWithinAChunk {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			f.replaceByScripted("engines", engineIDs, streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunks, streamHead+"\r\n$REST"+closeMark)
			got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts})
			if got.body != eventsAfter("") {
				t.Errorf("the caller got %q, complete: %t", got.body, got.complete)
			}
		})
	}
}

// handingOverBody is a response body whose first read hands the request over before it returns.
type handingOverBody struct {
	x    *exchange
	text string
	// err is what the reads return with the text and after it.
	err  error
	read bool
}

func (b *handingOverBody) Read(p []byte) (int, error) {
	if b.read {
		return 0, b.err
	}
	b.read = true
	b.x.successor = &exchange{call: b.x.call}
	return copy(p, b.text), b.err
}

func (b *handingOverBody) Close() error { return nil }

// TestResponseOfAReadThatHandedOverIsNotForwarded guards against an event or an answer that is forwarded after another endpoint was asked for it, and
// against a stream that ends as complete without the events of such a read, whatever that read returned.
func TestResponseOfAReadThatHandedOverIsNotForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		query   query
		text    string
		forward func(*exchange) outcome
	}{
		"stream": {query{path: "/roster/1", promptParts: chatPromptParts}, scriptedEvent(1), (*exchange).forwardStream},
		"lookup": {query{path: "/lookup/1"}, "right", (*exchange).forwardBuffered},
	} {
		for _, err := range []error{os.ErrDeadlineExceeded, io.EOF} {
			t.Run(fmt.Sprintf("%s, %v", name, err), func(t *testing.T) {
				x := silentExchange(t, c.query)
				body := &handingOverBody{x: x, text: c.text, err: err}
				x.response, x.info.Status = &http.Response{Body: body, ContentLength: -1, TransferEncoding: []string{"chunked"}}, http.StatusOK
				if out := c.forward(x); out.result != resultFailed || x.status != 0 || x.headerSent || x.events > 0 {
					t.Errorf("%+v after %d events, header sent: %t", out, x.events, x.headerSent)
				}
			})
		}
	}
}

// TestRequestIsHandedOverOnce guards against a third endpoint that is asked, and a second one that is forgotten, as a read goes on after its request
// was handed over.
func TestRequestIsHandedOverOnce(t *testing.T) {
	x := silentExchange(t, query{path: "/lookup/1"})
	successor := &exchange{call: x.call}
	x.successor = successor
	if next := x.waitLonger(false); !next.IsZero() || x.successor != successor || x.attempts != 1 {
		t.Errorf("the read goes on until %v, %d attempts, the successor is kept: %t", next, x.attempts, x.successor == successor)
	}
}

// silentExchange returns the first exchange of a new call, whose endpoint sends nothing.
func silentExchange(t *testing.T, q query) *exchange {
	t.Helper()
	f := newTestFleet(t, 1)
	f.listenRaw(f.address(130, workerPort), func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	x := f.dialExchange(q, f.address(130, workerPort))
	x.suspects = []uint64{1}
	x.work = x.gateway.table.Begin(x.pick, &x.request.Prompt, clock.Now())
	t.Cleanup(x.work.End)
	return x
}
