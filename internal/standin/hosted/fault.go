package hosted

import "net/http"

// Fault is the way in which the Store fails calls.
type Fault int

// Values of Fault.
const (
	// FaultNone serves all calls.
	FaultNone Fault = iota
	// FaultUnavailable responds with status 503.
	FaultUnavailable
	// FaultReset closes the connection without a response.
	FaultReset
	// FaultHang never responds.
	FaultHang
)

// applyFault fails the call according to fault. It reports whether the call is to be served.
func applyFault(fault Fault, w http.ResponseWriter, r *http.Request) bool {
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
	default:
		return true
	}
	return false
}
