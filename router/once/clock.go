package once

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// ClockReading is a simultaneous reading of both clocks of a VM.
type ClockReading struct {
	// Wall is the wall clock.
	Wall time.Time
	// Elapsed is the monotonic clock, measured from any fixed point.
	Elapsed time.Duration
}

// Clock reads the wall clock and detects when it is set. It is safe for
// concurrent use.
type Clock struct {
	maxSkew time.Duration
	read    func() ClockReading

	mu      sync.Mutex
	anchor  ClockReading
	started time.Time
}

// NewClock returns a Clock of this process. The wall clock counts as set when it
// deviates from the monotonic clock by more than maxSkew.
func NewClock(maxSkew time.Duration) *Clock {
	start := time.Now()
	return NewClockFrom(maxSkew, func() ClockReading {
		now := time.Now()
		return ClockReading{Wall: now.Round(0), Elapsed: now.Sub(start)}
	})
}

// NewClockFrom returns a Clock that obtains its readings from read.
func NewClockFrom(maxSkew time.Duration, read func() ClockReading) *Clock {
	first := read()
	return &Clock{maxSkew: maxSkew, read: read, anchor: first, started: first.Wall}
}

// Now returns the time of the wall clock. If the clock was set since the last
// call, Now returns a ClearanceMissing error once, and the process counts as
// started at the new time.
func (c *Clock) Now() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.read()
	step := now.Wall.Sub(c.anchor.Wall) - (now.Elapsed - c.anchor.Elapsed)
	if step.Abs() <= c.maxSkew {
		return now.Wall, nil
	}
	c.anchor = now
	c.started = now.Wall
	return time.Time{}, code.New(code.ClearanceMissing, "the wall clock was set by %v", step).After(c.maxSkew)
}

// StartedAt returns when the process started or the wall clock was last set,
// as a time of the wall clock.
func (c *Clock) StartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}
