package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longChunk is a chunk of a response that is too long to be buffered.
var longChunk = fmt.Sprintf("%x\r\n%s\r\n", maxBufferedBytes+1, strings.Repeat("x", maxBufferedBytes+1))

// TestBrokenLongAnswerIsNotContinuedByAnother breaks an answer off that is forwarded while it is
// read, to a request that may be repeated: the answer of another endpoint must not follow it.
func TestBrokenLongAnswerIsNotContinuedByAnother(t *testing.T) {
	fields := "Cardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\n"
	for name, test := range map[string]struct {
		service  string
		replaced []string
		status   string
		query    query
	}{
		"success":            {"plain", plainWorkers, "200 OK", query{path: "/lookup/1", body: "work"}},
		"error for a stream": {"engines", engineIDs, "404 Not Found", query{path: "/roster/1", promptParts: chatPromptParts}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			head := "HTTP/1.1 " + test.status + "\r\n" + fields
			e := f.replaceByScripted(test.service, test.replaced, head+"Transfer-Encoding: chunked\r\n\r\n"+longChunk+closeMark, head+"Content-Length: 5\r\n\r\nwrong")
			got := f.ask(context.Background(), 1, test.query)
			if got.complete || strings.HasSuffix(got.body, "wrong") || e.received(got.id) != 1 {
				t.Errorf("%d bytes that end with %q, complete: %t, sent %d times", len(got.body), got.body[max(0, len(got.body)-5):], got.complete, e.received(got.id))
			}
		})
	}
}

// TestLongAnswerThatPausesIsForwardedWhole lets an endpoint pause within an answer that is forwarded
// while it is read: the caller must get all of it.
func TestLongAnswerThatPausesIsForwardedWhole(t *testing.T) {
	f := newTestFleet(t, 1)
	long := strings.Repeat("x", maxBufferedBytes+1)
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cardamompoint-Attempt-Id", r.Header.Get("Cardamompoint-Attempt-Id"))
		w.Header().Set("Cardamompoint-Response-Seal", "x")
		_, _ = io.WriteString(w, long)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(w, "end")
	})
	f.servePlain(answer)
	if got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"}); !got.complete || got.body != long+"end" {
		t.Errorf("the caller got %d bytes, complete: %t", len(got.body), got.complete)
	}
}
