package code

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Error is a result other than OK, as it is sent between processes and to callers. Its
// JSON form is part of the API.
type Error struct {
	// Code is the numbered result.
	Code Code `json:"code"`
	// Name is the code's name.
	Name string `json:"name"`
	// Run is what is known about whether the work was executed.
	Run Run `json:"run"`
	// Message is one short sentence.
	Message string `json:"message"`
	// Path is the path of the invalid value in a document, "" if there is none.
	Path string `json:"path,omitempty"`
	// RetryAfterMS is the time after which to retry, in milliseconds; 0 if it is not set.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// ContextAgeMS is how long ago the engine that refuses with ContextLeft admitted the
	// chat, in milliseconds.
	ContextAgeMS int64 `json:"context_age_ms,omitempty"`
	// RequestID identifies the request.
	RequestID string `json:"request_id,omitempty"`

	cause error
}

// New returns an Error with a formatted message and the defaults of c.
func New(c Code, format string, args ...any) *Error {
	info := Describe(c)
	return &Error{Code: c, Name: info.Name, Run: info.Run, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that wraps cause with a stack trace for logs. The cause's text
// becomes part of the message.
func Wrap(cause error, c Code, message string) *Error {
	wrapped := New(c, "%s: %v", message, cause)
	wrapped.cause = eris.Wrap(cause, message)
	return wrapped
}

// Error returns the number, name, message and path.
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

// After sets the time after which to retry and returns e.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfterMS = wait.Milliseconds()
	return e
}

// At sets the path of the invalid value and returns e.
func (e *Error) At(path string) *Error {
	e.Path = path
	return e
}

// WithRun sets what is known about the execution of the work and returns e.
func (e *Error) WithRun(run Run) *Error {
	e.Run = run
	return e
}

// Of returns the first Error in err's chain. It wraps any other error as an InternalFault
// and returns nil if err is nil.
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

// Is reports whether err's chain has an Error with the code c.
func Is(err error, c Code) bool {
	var coded *Error
	return errors.As(err, &coded) && coded.Code == c
}
