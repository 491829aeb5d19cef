// Package retryafter spreads the times at which refused callers retry over the rate at which a service accepts them.
package retryafter

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// minWait is the least time.
	minWait = 100 * time.Millisecond
	// Max is the greatest time.
	Max = 10 * time.Second
)

// Schedule holds the retry times given to the refused callers of each service. It is not safe for concurrent use.
type Schedule struct {
	// latest is the latest retry time given to a caller, by service.
	latest map[string]clock.Boot
}

// NewSchedule returns a Schedule without retry times.
func NewSchedule() *Schedule {
	return &Schedule{latest: map[string]clock.Boot{}}
}

// Next returns after which time a refused caller of a service should retry. The service accepts perSecond requests a
// second, which must be positive, and the first one after the time first.
func (s *Schedule) Next(service string, perSecond float64, first time.Duration, now clock.Boot) time.Duration {
	next := max(s.latest[service].Add(time.Duration(float64(time.Second)/perSecond)), now.Add(first))
	next = min(next, now.Add(Max))
	s.latest[service] = next
	return max(next.Sub(now), minWait)
}
