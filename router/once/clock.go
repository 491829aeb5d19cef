package once

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// Reading is one look at both clocks of a VM.
type ClockReading struct {
	// Wall is the wall clock.
	Wall time.Time
	// Elapsed is the monotonic clock, from any fixed point.
	Elapsed time.Duration
}

// Clock reads the wall clock and notices when it is set. It is safe for
// concurrent use.
type Clock struct {
	skew time.Duration
	read func() ClockReading

	mu      sync.Mutex
	anchor  ClockReading
	started time.Time
}

// NewClock returns a Clock of this process. A wall clock that departs from the
// monotonic one by more than skew was set.
func NewClock(skew time.Duration) *Clock {
	begun := time.Now()
	return NewClockFrom(skew, func() ClockReading {
		now := time.Now()
		return ClockReading{Wall: now.Round(0), Elapsed: now.Sub(begun)}
	})
}

// NewClockFrom returns a Clock that reads the given clocks.
func NewClockFrom(skew time.Duration, read func() ClockReading) *Clock {
	first := read()
	return &Clock{skew: skew, read: read, anchor: first, started: first.Wall}
}

// Now returns the wall clock. If it was set since the last call, Now returns a
// ClearanceMissing error once, and the process counts as started now.
func (c *Clock) Now() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.read()
	moved := now.Wall.Sub(c.anchor.Wall) - (now.Elapsed - c.anchor.Elapsed)
	if moved.Abs() <= c.skew {
		return now.Wall, nil
	}
	c.anchor = now
	c.started = now.Wall
	return time.Time{}, code.New(code.ClearanceMissing, "the wall clock was set by %v", moved).After(c.skew)
}

// Started returns when the process started or the wall clock was last set,
// by the wall clock.
func (c *Clock) StartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}
