package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// unconfirmedRefusal returns a response with a status that promises that the request was not executed, but
// without the endpoint's statement that it was not.
func unconfirmedRefusal(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// unconfirmedStatuses are the statuses of such responses.
var unconfirmedStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// unconfirmedBodies are the bodies of such responses: of one that is held, and of one that is too long for it.
var unconfirmedBodies = map[string]string{"short": "busy", "long": strings.Repeat("x", maxBufferedBytes+1)}

// TestUnconfirmedRefusalIsNotPassedOn guards against callers that send work again since an endpoint that ran it answered with a status that promises the contrary.
func TestUnconfirmedRefusalIsNotPassedOn(t *testing.T) {
	for service, paths := range map[string][]string{"plain": {"/deposit/1", "/lookup/1"}, "engines": {"/chat/1", "/roster/1"}} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			replaced := plainWorkers
			if service == "engines" {
				replaced = engineIDs
			}
			e := f.replaceByScripted(service, replaced, "")
			for _, path := range paths {
				for _, status := range unconfirmedStatuses {
					for name, body := range unconfirmedBodies {
						e.script(unconfirmedRefusal(status, body))
						got := f.ask(context.Background(), 1, query{path: path, body: "work", promptParts: chatPromptParts})
						if got.status != http.StatusBadGateway || e.received(got.id) == 0 {
							t.Errorf("%s: a %s answer %d: the caller got %d after %d runs", path, name, status, got.status, e.received(got.id))
						}
						if got.header.Get("Cardamompoint-Response-Seal") != "" {
							t.Errorf("%s: the endpoint's seal is on an answer of the gateway", path)
						}
					}
				}
			}
		})
	}
}

// TestRepeatableRequestLeavesAnUnconfirmedRefusal guards against requests that end with such a response though another endpoint would serve them.
func TestRepeatableRequestLeavesAnUnconfirmedRefusal(t *testing.T) {
	f := newTestFleet(t, 1)
	e := f.replaceByScripted("plain", plainWorkers, "")
	for _, status := range unconfirmedStatuses { // The budget allows no more retries.
		e.script(unconfirmedRefusal(status, "busy"), wholeBody)
		got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"})
		if got.status != http.StatusOK || got.body != "right" {
			t.Errorf("after an answer %d: the caller got %d, %q", status, got.status, got.body)
		}
	}
}
