package gateway

import (
	"net/http"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

// TestBrokenStreamIsNamed ends a stream whose caller has a part of it for several
// reasons: the log names an incomplete answer, but for a deadline.
func TestBrokenStreamIsNamed(t *testing.T) {
	for given, want := range map[code.Code]code.Code{
		code.OutcomeUnknown:   code.AnswerIncomplete,
		code.EndpointFault:    code.AnswerIncomplete,
		code.RetryBudget:      code.AnswerIncomplete,
		code.DeadlineExceeded: code.DeadlineExceeded,
	} {
		c := &call{headerSent: true}
		if cut := endsAborted(c, code.New(given, "cause")); !cut || c.result != want || c.detail != "cause" {
			t.Errorf("%d became %d, detail %q, connection cut %v", given, c.result, c.detail, cut)
		}
	}
}

// endsAborted reports whether the end of a call cuts the caller's connection.
func endsAborted(c *call, err error) (cut bool) {
	defer func() { cut = recover() == http.ErrAbortHandler }()
	c.finish(err)
	return false
}
