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

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// longUploadBytes is the size of a body that doesn't fit into the buffers of a connection.
	longUploadBytes = 3 << 20
	// closeDelimitedHead begins an answer that has no length and ends with its connection.
	closeDelimitedHead = "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\n"
)

func allowLongUploads(c *hosted.Configuration) {
	c.Limits["maxBodyBytes"] = 2 * longUploadBytes
}

// TestAnswerThatIsResetDuringAnUploadIsNotComplete guards against the part of an answer without a length that looks complete, as the
// concurrent write of the request took the error of the reset.
func TestAnswerThatIsResetDuringAnUploadIsNotComplete(t *testing.T) {
	const rounds = 40
	for name, c := range map[string]struct {
		service  string
		replaced []string
		query    query
		part     string
	}{
		"lookup":           {"plain", plainWorkers, query{path: "/lookup/1"}, "\r\npart"},
		"deposit":          {"plain", plainWorkers, query{path: "/deposit/1"}, "\r\npart"},
		"long answer":      {"plain", plainWorkers, query{path: "/deposit/1"}, "\r\n" + strings.Repeat("x", maxBufferedBytes+1)},
		"stream":           {"engines", engineIDs, query{path: "/chat/1", promptParts: chatPromptParts}, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n"},
		"resumable stream": {"engines", engineIDs, query{path: "/roster/1", promptParts: chatPromptParts}, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			f.publishChanged(2, allowSlowMachine, allowLongUploads)
			f.replaceByRaw(c.service, c.replaced, func(conn net.Conn) { answerAndReset(conn, closeDelimitedHead+c.part) })
			c.query.body = strings.Repeat("x", longUploadBytes)
			complete := 0
			for range rounds {
				if got := f.ask(context.Background(), 1, c.query); got.status == http.StatusOK && got.complete {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d callers got the part as a complete answer", complete, rounds)
			}
		})
	}
}

// answerAndReset answers a request whose body it does not read, and resets the connection.
func answerAndReset(conn net.Conn, answer string) {
	defer conn.Close()
	id, ok := readCallersRequest(conn)
	if !ok {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "$ID", id))
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// TestAnswerThatEndsInOrderDuringAnUploadIsComplete guards against whole answers that are taken for broken ones, as the endpoint did not read the rest of the request.
func TestAnswerThatEndsInOrderDuringAnUploadIsComplete(t *testing.T) {
	f := newTestFleet(t, 1)
	f.publishChanged(2, allowSlowMachine, allowLongUploads)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	f.replaceByRaw("plain", plainWorkers, func(conn net.Conn) {
		defer conn.Close()
		id, ok := readCallersRequest(conn)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(closeDelimitedHead+"\r\nwhole", "$ID", id))
		_ = conn.(*net.TCPConn).CloseWrite()
		<-ended
	})
	for _, path := range []string{"/lookup/1", "/deposit/1"} {
		got := f.ask(context.Background(), 1, query{path: path, body: strings.Repeat("x", longUploadBytes)})
		if got.status != http.StatusOK || !got.complete || got.body != "whole" {
			t.Errorf("%s: %d, %q, complete: %t", path, got.status, got.body, got.complete)
		}
	}
}

// TestAnswerThatIsResetDuringAHandoverIsNotComplete guards against the part of an answer without a length that looks complete, as a
// look at the silent connection took the error of the reset. The other endpoint refuses, so the request stays.
func TestAnswerThatIsResetDuringAHandoverIsNotComplete(t *testing.T) {
	const silence, refusedAfter = 700 * time.Millisecond, 1200 * time.Millisecond
	f := newTestFleet(t, 1)
	f.publishChanged(2, allowSlowMachine)
	var requests atomic.Int32
	f.replaceByRaw("plain", plainWorkers, func(conn net.Conn) {
		defer conn.Close()
		id, ok := readCallersRequest(conn)
		if !ok {
			return
		}
		if requests.Add(1) > 1 {
			time.Sleep(refusedAfter - silence)
			_, _ = io.WriteString(conn, strings.ReplaceAll(refusal, "$FIRST", id))
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(closeDelimitedHead+"\r\npart", "$ID", id))
		time.Sleep(silence)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	if got := f.ask(context.Background(), 1, query{path: "/lookup/1"}); got.status == http.StatusOK {
		t.Errorf("the caller got %q, complete: %t", got.body, got.complete)
	}
	if requests.Load() < 2 {
		t.Error("no other endpoint was asked")
	}
}
