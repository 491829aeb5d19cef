package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEventIsForwardedThoughTheNextChunkIsIncomplete guards against an event that waits at the VM until the endpoint has sent more.
// The endpoint goes on only when the caller has the event.
func TestEventIsForwardedThoughTheNextChunkIsIncomplete(t *testing.T) {
	size, data, _ := strings.Cut(eventChunk(2), "\r\n")
	for name, c := range map[string]struct{ arrived, rest, want string }{
		"within the size":     {eventChunk(1) + size[:1], size[1:] + "\r\n" + data + "0\r\n\r\n", scriptedEvent(1) + scriptedEvent(2)},
		"after the size":      {eventChunk(1) + size + "\r\n", data + "0\r\n\r\n", scriptedEvent(1) + scriptedEvent(2)},
		"before the last end": {eventChunk(1) + "0\r\n", "\r\n", scriptedEvent(1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			received := make(chan struct{})
			f.replaceByRaw("engines", engineIDs, func(conn net.Conn) { serveInTwoParts(conn, c.arrived, c.rest, received) })
			response, err := http.DefaultClient.Do(f.newRequest(context.Background(), 1, "00000000000000c1", query{path: "/chat/1", promptParts: chatPromptParts}))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			event := make([]byte, len(scriptedEvent(1)))
			_, err = io.ReadFull(response.Body, event)
			close(received)
			rest, restErr := io.ReadAll(response.Body)
			if got := string(event) + string(rest); err != nil || restErr != nil || got != c.want {
				t.Errorf("the caller got %q, %v, %v", got, err, restErr)
			}
		})
	}
}

// serveInTwoParts answers the first request on a connection with a stream in chunks, whose rest it sends when received is
// closed. Without that it closes the connection after giveUp.
func serveInTwoParts(conn net.Conn, begin, rest string, received <-chan struct{}) {
	const giveUp = 5 * time.Second
	defer conn.Close()
	id, ok := readCallersRequest(conn)
	if !ok {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead, "$ID", id)+"Transfer-Encoding: chunked\r\n\r\n"+begin)
	select {
	case <-received:
		_, _ = io.WriteString(conn, rest)
	case <-time.After(giveUp):
	}
}
