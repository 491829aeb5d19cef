package router

import (
	"sync"
	"time"
)

// confirmation records when the platform last confirmed something, to this router
// or to a peer that reported it. It is safe for concurrent use.
type confirmation struct {
	mu sync.Mutex
	at time.Time
}

// confirm records a confirmation at the given time, unless a later one is known.
func (c *confirmation) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// ageMS returns the time since the last confirmation in milliseconds, or -1 if
// there was none.
func (c *confirmation) ageMS(now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ageMS(c.at, now)
}

// olderThan reports whether the last confirmation is older than limit.
func (c *confirmation) olderThan(limit time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.at) > limit
}

// ageMS returns the time from at to now in milliseconds, or -1 if at is zero.
func ageMS(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
