package shed

import "time"

const (
	// hopelessFactor is the multiple of its time left that an answer must be expected to take for a
	// request to be refused as hopeless. A false refusal costs a caller one of few attempts.
	hopelessFactor = 1.5
	// maxDelayRatio bounds the delay expected at one endpoint by the mean of all, so that a stale
	// estimate of one endpoint doesn't make a request hopeless.
	maxDelayRatio = 2
)

// isLate reports whether a request whose caller has waited can no longer meet its route's objective.
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
