// Package httpstatus checks the statuses of responses.
package httpstatus

import "net/http"

// The statuses that HTTP allows. net/http parses any three digits.
const (
	minimum = 100
	maximum = 599
)

// IsValid reports whether a server may answer with a status, in an interim or a final response, to a request that
// does not ask for another protocol.
func IsValid(status int) bool {
	return status >= minimum && status <= maximum && status != http.StatusSwitchingProtocols
}
