package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

// lateBody is a body during whose transfer the linger time of a shutdown ends.
type lateBody struct {
	io.Reader
	router *Router
}

func (b lateBody) Read(p []byte) (int, error) {
	b.router.closing.Store(true)
	return b.Reader.Read(p)
}

// TestBodyThatComesLateIsNotExecuted guards against work that begins late in a shutdown and is cut at its end.
func TestBodyThatComesLateIsNotExecuted(t *testing.T) {
	r := newExecutorRouter(t, &delayedService{})
	r.synced.Store(true)
	for path, body := range map[string]string{"/v1/services/w/deposits": "work", "/v1/chat/completions": `{"workspace":"w"}`} {
		r.closing.Store(false)
		request := httptest.NewRequest(http.MethodPost, path, lateBody{strings.NewReader(body), r})
		answer := httptest.NewRecorder()
		r.callersMux().ServeHTTP(answer, request)
		if answer.Code != code.Describe(code.Draining).Status || !strings.Contains(answer.Body.String(), "shutting down") {
			t.Errorf("%s: got %d %s", path, answer.Code, answer.Body)
		}
	}
	next := httptest.NewRecorder()
	r.callersMux().ServeHTTP(next, httptest.NewRequest(http.MethodPost, "/v1/services/w/deposits", nil))
	if next.Code != code.Describe(code.Draining).Status || next.Header().Get("Connection") != "close" {
		t.Errorf("the next request got %d with the header %v", next.Code, next.Header())
	}
}
