package shed

import "time"

// Decision is whether a request is refused, with the figures behind it.
type Decision struct {
	// Refused reports whether the request must not be sent.
	Refused bool
	// Reason is the criterion that decided, ReasonNone if the request is not refused.
	Reason Reason
	// Rank is ten times the request's priority and the priority of its route, plus 100 for each level that its
	// workspace is over its share. The lowest rank is served first.
	Rank int
	// OverShare reports whether the workspace uses more than its share.
	OverShare bool
	// RetryAfter is when the caller of a refused request should return.
	RetryAfter time.Duration
	// Excess is the share of the service's requests that exceeds its capacity.
	Excess float64
}
