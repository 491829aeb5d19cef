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

// handingOverBody is a response body with one event, whose read hands the stream over before it returns.
type handingOverBody struct {
	x    *exchange
	read bool
}

func (b *handingOverBody) Read(p []byte) (int, error) {
	if b.read {
		return 0, os.ErrDeadlineExceeded
	}
	b.read = true
	b.x.successor = &exchange{call: b.x.call}
	return copy(p, scriptedEvent(1)), os.ErrDeadlineExceeded
}

func (b *handingOverBody) Close() error { return nil }

// TestEventOfAReadThatHandedOverIsNotForwarded guards against an event that is forwarded after another endpoint was asked for it.
func TestEventOfAReadThatHandedOverIsNotForwarded(t *testing.T) {
	f := newTestFleet(t, 1)
	f.listenRaw(f.address(130, workerPort), func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	x := f.dialExchange(query{path: "/roster/1", promptParts: chatPromptParts}, f.address(130, workerPort))
	x.work = x.gateway.table.Begin(x.pick, &x.request.Prompt, clock.Now())
	defer x.work.End()
	x.response, x.info.Status = &http.Response{Body: &handingOverBody{x: x}}, http.StatusOK
	if out := x.forwardStream(); out.result != resultFailed || x.headerSent || x.events > 0 {
		t.Errorf("%+v after %d events, header sent: %t", out, x.events, x.headerSent)
	}
}
