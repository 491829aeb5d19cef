package balance

import "time"

// Parameters of the slow start of an engine that is new or has recovered.
const (
	// rampDuration is the time from the start of the ramp to the full caps.
	rampDuration = 10 * time.Second
	// rampInitialFraction is the fraction of the caps at the start of the ramp.
	rampInitialFraction = 0.25
	// initialHoldback is how long an engine is held back after its first recovery.
	// Each further recovery within flapWindow of the last one doubles the time, up
	// to maxHoldback.
	initialHoldback = time.Second
	maxHoldback     = time.Minute
	flapWindow      = 5 * time.Minute
)

// slowStart limits the load of an engine that is new or has recovered. The zero
// value does not limit it.
type slowStart struct {
	down bool
	// recoveries counts the recoveries that followed each other within flapWindow,
	// up to the one with which the holdback time reaches maxHoldback.
	recoveries  int
	recoveredAt time.Time
	// rampStart is when the ramp starts; until then the engine is held back.
	rampStart time.Time
}

// engineAdded starts the ramp of an engine that is new in the list of VMs.
func (s *slowStart) engineAdded(now time.Time) {
	s.rampStart = now
}

// markDown records that the engine does not answer.
func (s *slowStart) markDown() {
	s.down = true
}

// markUp records that the engine answers. After a failure, the engine is held
// back, for longer with each recovery, and then ramped up.
func (s *slowStart) markUp(now time.Time) {
	if !s.down {
		return
	}
	s.down = false
	if now.Sub(s.recoveredAt) > flapWindow {
		s.recoveries = 0
	}
	s.recoveredAt = now
	s.rampStart = now.Add(min(initialHoldback<<s.recoveries, maxHoldback))
	if initialHoldback<<s.recoveries < maxHoldback {
		s.recoveries++
	}
}

// capacityFraction returns the fraction of its caps that the engine may carry at
// now, from 0 to 1. It is 0 while the engine is down or held back; the caller
// still allows it one request, so that no set of candidates is ever empty.
func (s *slowStart) capacityFraction(now time.Time) float64 {
	if s.down || now.Before(s.rampStart) {
		return 0
	}
	age := now.Sub(s.rampStart)
	if s.rampStart.IsZero() || age >= rampDuration {
		return 1
	}
	return rampInitialFraction + (1-rampInitialFraction)*float64(age)/float64(rampDuration)
}
