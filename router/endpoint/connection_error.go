package endpoint

import (
	"errors"

	"cardamompoint.example/cardamompoint/code"
)

// ConnectionError is a failure of the connection to the server: it could not be
// opened, was interrupted, stayed silent or delivered a line that does not belong
// to the answer. An error that the server itself reports is never a
// ConnectionError.
type ConnectionError struct {
	// Failure holds the result code and the cause.
	Failure *code.Error
}

// Error returns the message of the failure.
func (e *ConnectionError) Error() string {
	return e.Failure.Error()
}

// Unwrap returns the failure.
func (e *ConnectionError) Unwrap() error {
	return e.Failure
}

// IsConnectionError reports whether err is a ConnectionError. If so, the rest of
// the answer may be available over a new connection.
func IsConnectionError(err error) bool {
	var lost *ConnectionError
	return errors.As(err, &lost)
}
