package gateway

import (
	"net/http"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

// TestTruncatedStreamIsLoggedAsIncomplete ends a partially forwarded stream for several reasons:
// the log must state an incomplete answer, except for an expired deadline.
func TestTruncatedStreamIsLoggedAsIncomplete(t *testing.T) {
	for given, want := range map[code.Code]code.Code{
		code.OutcomeUnknown:   code.AnswerIncomplete,
		code.EndpointFault:    code.AnswerIncomplete,
		code.RetryBudget:      code.AnswerIncomplete,
		code.DeadlineExceeded: code.DeadlineExceeded,
	} {
		c := &call{headerSent: true}
		if aborted := endsAborted(c, code.New(given, "cause")); !aborted || c.result != want || c.detail != "cause" {
			t.Errorf("%d became %d, detail %q, connection aborted %v", given, c.result, c.detail, aborted)
		}
	}
}

// endsAborted reports whether the end of a call aborts the caller's connection.
func endsAborted(c *call, err error) (cut bool) {
	defer func() { cut = recover() == http.ErrAbortHandler }()
	c.finish(err)
	return false
}
