package shed

import "time"

// timeouts are the longest times that callers of each route have had left, by the route's name.
// They show how long a caller that returns after a refusal has been waiting.
type timeouts map[string]time.Duration

const (
	// maxTimeouts bounds the routes that are remembered.
	maxTimeouts = 10_000
	// forgetting is the part of a remembered time that each request with less time takes
	// away, so that a single long one does not count for ever.
	forgetting = 5000
)

// waited records a request and returns how long its caller has probably been waiting: the time
// that it lacks compared with others of its route.
func (t timeouts) waited(r Request) time.Duration {
	if r.TimeLeft <= 0 {
		return 0
	}
	longest := t[r.Route]
	if r.TimeLeft < longest {
		longest -= longest / forgetting
	}
	if len(t) >= maxTimeouts {
		clear(t)
	}
	t[r.Route] = max(longest, r.TimeLeft)
	return max(0, longest-r.TimeLeft)
}
