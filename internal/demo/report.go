package demo

import (
	"fmt"
	"io"
)

// report prints what was counted and remembers whether a check failed.
type report struct {
	w      io.Writer
	failed int
}

// count prints a figure.
func (r *report) count(format string, args ...any) {
	fmt.Fprintf(r.w, format+"\n", args...)
}

// check prints a check's result.
func (r *report) check(ok bool, format string, args ...any) {
	word := "ok"
	if !ok {
		word = "FAILED"
		r.failed++
	}
	fmt.Fprintf(r.w, "%-6s %s\n", word, fmt.Sprintf(format, args...))
}
