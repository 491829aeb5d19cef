package shed

import "time"

const (
	// hopelessFactor is the multiple of the caller's time left from which an expected delay makes a request
	// hopeless. The margin is there since a false refusal costs the caller one of few attempts.
	hopelessFactor = 1.5
	// maxDelayRatio bounds the delay expected at one endpoint by the mean of all, so that a stale
	// estimate of one endpoint doesn't make a request hopeless.
	maxDelayRatio = 2
)

// isLate reports whether a request can no longer meet its route's objective. waited is how long its caller has probably
// been waiting.
func isLate(r Request, waited time.Duration) bool {
	return r.Objective > 0 && waited+r.Delay > r.Objective
}

// isHopeless reports whether the answer to a request clearly can't begin within the caller's time.
func (s *Shedder) isHopeless(r Request) bool {
	if r.TimeLeft <= 0 {
		return false
	}
	delay := min(r.Delay, maxDelayRatio*r.Backlog) + s.slotWait(r)
	return float64(delay) > hopelessFactor*float64(r.TimeLeft)
}
