package code

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Error is a result other than OK, as it travels between processes and to
// callers. Its JSON form is part of the API.
type Error struct {
	// Code is the numbered result.
	Code Code `json:"code"`
	// Name is the code's name.
	Name string `json:"name"`
	// Run tells whether the work was run.
	Run Run `json:"run"`
	// Message is one short sentence.
	Message string `json:"message"`
	// Path is the place of the fault in a document, if there is one.
	Path string `json:"path,omitempty"`
	// RetryAfterMS is when to come back, in milliseconds; 0 means not to.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// ContextAgeMS is how long ago the engine of a ContextLeft refusal admitted
	// the chat, in milliseconds.
	ContextAgeMS int64 `json:"context_age_ms,omitempty"`
	// RequestID identifies the request.
	RequestID string `json:"request_id,omitempty"`

	cause error
}

// New returns an Error with a formatted message.
func New(c Code, format string, args ...any) *Error {
	info := Describe(c)
	return &Error{Code: c, Name: info.Name, Run: info.Run, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that keeps cause for logs. The cause's text becomes
// part of the message.
func Wrap(cause error, c Code, message string) *Error {
	wrapped := New(c, "%s: %v", message, cause)
	wrapped.cause = eris.Wrap(cause, message)
	return wrapped
}

// Error returns number, name and message.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Code, e.Name, e.Message)
	if e.Path != "" {
		text += " (at " + e.Path + ")"
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// After sets when to come back and returns e.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfterMS = wait.Milliseconds()
	return e
}

// At sets the place of the fault and returns e.
func (e *Error) At(path string) *Error {
	e.Path = path
	return e
}

// WithRun sets what is known about the execution and returns e.
func (e *Error) WithRun(run Run) *Error {
	e.Run = run
	return e
}

// Of returns the Error in err's chain. Another error becomes an InternalFault;
// nil stays nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return Wrap(err, InternalFault, "unexpected error")
}

// Is reports whether err carries the code c.
func Is(err error, c Code) bool {
	var coded *Error
	return errors.As(err, &coded) && coded.Code == c
}
