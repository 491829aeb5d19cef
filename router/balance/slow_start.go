package balance

import "time"

// The slow start of an engine that came new or came back.
const (
	// rampTime is how long an engine takes to its full caps.
	rampTime = 10 * time.Second
	// rampFirst is the part of the caps at the start of the ramp.
	rampFirst = 0.25
	// holdFirst is the hold-back after the first return; each return within
	// flapWindow doubles it up to holdMost.
	holdFirst  = time.Second
	holdMost   = time.Minute
	flapWindow = 5 * time.Minute
)

// slowStart limits an engine that came new or came back. The zero value does
// not limit.
type slowStart struct {
	down     bool
	returns  int
	returned time.Time
	from     time.Time
}

// appeared starts the ramp of an engine that is new in the list of VMs.
func (s *slowStart) appeared(now time.Time) {
	s.from = now
}

// fail notes that the engine does not answer.
func (s *slowStart) fail() {
	s.down = true
}

// answer notes that the engine answers. After a failure, it is held back, for
// longer with each return, and then ramped.
func (s *slowStart) answer(now time.Time) {
	if !s.down {
		return
	}
	s.down = false
	if now.Sub(s.returned) > flapWindow {
		s.returns = 0
	}
	s.returned = now
	s.from = now.Add(min(holdFirst<<s.returns, holdMost))
	if holdFirst<<s.returns < holdMost {
		s.returns++
	}
}

// part returns the part of its caps that the engine may carry at now. It is 0
// while the engine is down or held back; the caller still leaves it one
// request, so that no set of candidates is ever empty.
func (s *slowStart) part(now time.Time) float64 {
	if s.down || now.Before(s.from) {
		return 0
	}
	age := now.Sub(s.from)
	if s.from.IsZero() || age >= rampTime {
		return 1
	}
	return rampFirst + (1-rampFirst)*float64(age)/float64(rampTime)
}
