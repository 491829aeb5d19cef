package demo

import (
	"fmt"
	"io"
)

// report prints the results of the demo and counts failed checks.
type report struct {
	w      io.Writer
	failed int
}

// printf prints a line that is not a check.
func (r *report) printf(format string, args ...any) {
	fmt.Fprintf(r.w, format+"\n", args...)
}

// check prints the result of a check.
func (r *report) check(ok bool, format string, args ...any) {
	word := "ok"
	if !ok {
		word = "FAILED"
		r.failed++
	}
	fmt.Fprintf(r.w, "%-6s %s\n", word, fmt.Sprintf(format, args...))
}
