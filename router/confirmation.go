package router

import (
	"sync"
	"time"
)

// news is when the platform last confirmed something, by an own read or by one
// that a peer tells of. It is safe for concurrent use.
type confirmation struct {
	mu sync.Mutex
	at time.Time
}

// confirm records a confirmation at the given time.
func (n *confirmation) confirm(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.at) {
		n.at = at
	}
}

// ageMS returns the time since the confirmation in milliseconds, or -1 if
// there is none.
func (n *confirmation) ageMS(now time.Time) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return ageMS(n.at, now)
}

// older reports whether the confirmation is older than limit.
func (n *confirmation) olderThan(limit time.Duration, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.at) > limit
}

func ageMS(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
