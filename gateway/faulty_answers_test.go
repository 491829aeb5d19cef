package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nCardamompoint-Attempt-Id: $FIRST\r\nCardamompoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	wholeBody  = "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Length: 5\r\n\r\nright"
)

// engineIDs are the engines of a test fleet.
var engineIDs = []string{"engine-1", "engine-2"}

// TestErrorOfNextEndpointStaysOutOfTheStream breaks a stream off and lets the next endpoint answer
// with an error: the caller must get the events of the stream alone, and see that it broke off.
func TestErrorOfNextEndpointStaysOutOfTheStream(t *testing.T) {
	const begun = "id: 1\ndata: one\n\n"
	long := strings.Repeat("x", 300<<10)
	for name, answer := range map[string]string{
		"client error":  "HTTP/1.1 404 Not Found\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong",
		"redirect":      "HTTP/1.1 302 Found\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong",
		"server error":  "HTTP/1.1 500 Internal Server Error\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong",
		"long error":    "HTTP/1.1 500 Internal Server Error\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\n\r\n" + long + closeMark,
		"other content": "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nwrong\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			first := streamHead + "\r\n" + begun + "id: 2\nda" + closeMark
			f.replaceByScripted("engines", engineIDs, first, answer)
			got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts})
			if got.status != http.StatusOK || got.complete || got.body != begun {
				t.Errorf("the caller got %d, %q, complete: %t", got.status, got.body[:min(len(got.body), 100)], got.complete)
			}
		})
	}
}

// TestStreamGoesOnWithOtherParametersOfItsMediaType resumes a stream at an endpoint that adds a
// character set to the media type: the caller must get the whole stream.
func TestStreamGoesOnWithOtherParametersOfItsMediaType(t *testing.T) {
	const begun, rest = "id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n"
	f := newTestFleet(t, 1)
	other := strings.Replace(streamHead, "text/event-stream", "Text/Event-Stream; charset=utf-8", 1)
	f.replaceByScripted("engines", engineIDs, streamHead+"\r\n"+begun+"id: 2\nda"+closeMark, other+"\r\n"+rest+closeMark)
	if got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts}); !got.complete || got.body != begun+rest {
		t.Errorf("the caller got %q, complete: %t", got.body, got.complete)
	}
}

// TestRepeatedRefusalDoesNotAnswerTheNextRequest lets an endpoint write an earlier refusal once
// more on a kept connection before it answers the next request: that one must get its own answer
// and be sent nowhere else.
func TestRepeatedRefusalDoesNotAnswerTheNextRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	f.publishChanged(2, allowSlowMachine)
	e := f.replaceByScripted("plain", plainWorkers, refusal, refusal, refusal+wholeBody)
	if got := f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work"}); got.status != http.StatusServiceUnavailable {
		t.Fatalf("a refused request got status %d", got.status)
	}
	for range 4 {
		got := f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work"})
		if got.status != http.StatusOK || got.body != "right" || e.received(got.id) != 1 {
			t.Errorf("status %d, body %q, sent %d times", got.status, got.body, e.received(got.id))
		}
	}
}

// TestTruncatedHeadIsNoAnswer lets an endpoint close its connection at each place within the head
// of its answer: the caller must never get a success.
func TestTruncatedHeadIsNoAnswer(t *testing.T) {
	f := newTestFleet(t, 1)
	head, _, _ := strings.Cut(wholeBody, "right")
	var answers []string
	for end := 1; end < len(head); end++ {
		answers = append(answers, head[:end]+closeMark)
	}
	f.publishChanged(2, allowSlowMachine)
	f.replaceByScripted("plain", plainWorkers, answers...)
	for range answers {
		if got := f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work"}); got.status != http.StatusBadGateway {
			t.Errorf("the caller got %d, %q", got.status, got.body)
		}
	}
}

// TestUnframedStreamWithoutEventsIsBroken lets a stream without a length and without chunks end
// with its connection before its first event: the stream must come from another endpoint, or
// must not look complete.
func TestUnframedStreamWithoutEventsIsBroken(t *testing.T) {
	const events = "id: 1\ndata: one\n\n"
	f := newTestFleet(t, 1)
	empty, whole := streamHead+"\r\n"+closeMark, streamHead+"\r\n"+events+closeMark
	f.replaceByScripted("engines", engineIDs, empty, whole, empty)
	if got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts}); got.status != http.StatusOK || !got.complete || got.body != events {
		t.Errorf("a resumable stream: %+v", got)
	}
	if got := f.ask(context.Background(), 1, query{path: "/chat/1", promptParts: chatPromptParts}); got.status == http.StatusOK {
		t.Errorf("a stream without events: %+v", got)
	}
}
