package endpoint

import (
	"errors"

	"cardamompoint.example/cardamompoint/code"
)

// ConnectionError tells that the connection to the other end failed: it could
// not be opened, was cut, stayed silent or carried a line that did not belong
// to it. What the other end itself answered is never a ConnectionError.
type ConnectionError struct {
	// Failure is the numbered result.
	Failure *code.Error
}

// Error returns the text of the failure.
func (e *ConnectionError) Error() string {
	return e.Failure.Error()
}

// Unwrap returns the failure.
func (e *ConnectionError) Unwrap() error {
	return e.Failure
}

// ConnectionLost reports whether err is a ConnectionError, so that a new
// connection may bring the rest of the answer.
func IsConnectionError(err error) bool {
	var lost *ConnectionError
	return errors.As(err, &lost)
}
