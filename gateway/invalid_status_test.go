package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

// invalidStatuses are outside of what HTTP allows in the final response to these requests.
var invalidStatuses = []int{0, 1, 42, 99, 101, 600, 777, 999}

// invalidStatus returns a response with a status that HTTP does not allow.
func invalidStatus(status int) string {
	return fmt.Sprintf("HTTP/1.1 %03d Odd\r\nCardamompoint-Attempt-Id: $ID\r\nCardamompoint-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong", status)
}

// TestResponseWithAnInvalidStatusIsNotPassedOn guards against callers that get a response with a status such as 000 or 600, or wait for
// one until their time is over.
func TestResponseWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	want := fmt.Sprintf(`"code":%d`, code.OutcomeUnknown)
	for _, c := range []struct {
		service  string
		replaced []string
		path     string
	}{
		{"plain", plainWorkers, "/deposit/1"},
		{"engines", engineIDs, "/chat/1"},
	} {
		t.Run(c.service, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			e := f.replaceByScripted(c.service, c.replaced, "")
			for _, status := range invalidStatuses {
				e.script(invalidStatus(status))
				got := f.ask(context.Background(), 1, query{path: c.path, body: "work", promptParts: chatPromptParts})
				if got.status != http.StatusBadGateway || e.received(got.id) != 1 || !strings.Contains(got.body, want) {
					t.Errorf("the endpoint answered %03d, the caller got %d, %q after %d runs", status, got.status, got.body, e.received(got.id))
				}
			}
		})
	}
}

// TestRepeatableRequestLeavesAnInvalidStatus guards against requests that end with such a response though another endpoint would serve them.
func TestRepeatableRequestLeavesAnInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 600} {
		f := newTestFleet(t, 1)
		f.replaceByScripted("plain", plainWorkers, invalidStatus(status), wholeBody)
		got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"})
		if got.status != http.StatusOK || got.body != "right" {
			t.Errorf("after an answer %03d: the caller got %d, %q", status, got.status, got.body)
		}
	}
}
