package gateway

import (
	"strings"
	"testing"
)

// TestMalformedRequestsReachNoEndpoint sends requests with an ambiguous end, as used for request
// smuggling: each must get status 400, and no endpoint may receive any part of it.
func TestMalformedRequestsReachNoEndpoint(t *testing.T) {
	f := newTestFleet(t, 1)
	begin := "POST /open/1 HTTP/1.1\r\nHost: desk.example\r\nCardamompoint-Attempt-Id: a1\r\n"
	inner := "POST /open/1 HTTP/1.1\r\nHost: desk.example\r\nCardamompoint-Attempt-Id: b2\r\nContent-Length: 0\r\n\r\n"
	for _, lines := range []string{
		"Content-Length: 0\r\nContent-Length: 5\r\n",
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: xchunked\r\n",
		"Transfer-Encoding : chunked\r\n",
		"X: y\n",
		"X: y\r\n folded\r\n",
		"X: y\rZ: 1\r\n",
	} {
		if status := f.sendRaw(1, begin+lines+"\r\n"+inner); !strings.Contains(status, " 400 ") {
			t.Errorf("%q got %q", lines, status)
		}
	}
	if status := f.sendRaw(1, begin+"Transfer-Encoding: chunked\r\n\r\n5\nabcde\r\n0\r\n\r\n"); !strings.Contains(status, " 400 ") {
		t.Errorf("malformed chunks got %q", status)
	}
	long := "X: " + strings.Repeat("y", 40_000) + "\r\n"
	if status := f.sendRaw(1, begin+long+"\r\n"); !strings.Contains(status, " 431 ") {
		t.Errorf("a long header got %q", status)
	}
	for id, worker := range f.workers {
		if seen := worker.Seen(); len(seen) > 0 {
			t.Errorf("%s received %+v", id, seen)
		}
	}
}

// TestRequestForTheServerItselfGetsNoSuccess sends a request without a path, which net/http would
// answer without calling the handler: the gateway must not report success.
func TestRequestForTheServerItselfGetsNoSuccess(t *testing.T) {
	f := newTestFleet(t, 1)
	if status := f.sendRaw(1, "OPTIONS * HTTP/1.1\r\nHost: desk.example\r\nCardamompoint-Attempt-Id: a1\r\n\r\n"); !strings.Contains(status, " 404 ") {
		t.Errorf("got %q", status)
	}
}
