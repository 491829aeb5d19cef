package placement

import (
	"sync"

	"golang.org/x/time/rate"
)

// WeightStoreLimiter limits the rate at which this router starts loads from the
// weight store to the router's share of the fleet's rate. The shares of all
// routers add up to the fleet's rate while the routers have the same list of
// VMs. It is safe for concurrent use.
type WeightStoreLimiter struct {
	// fleetRate is the rate of the whole fleet, in loads per second.
	fleetRate float64

	mu      sync.Mutex
	limiter *rate.Limiter
	routers int
}

const secondsPerMinute = 60

// NewWeightStoreLimiter returns a WeightStoreLimiter for a rate of loadsPerMinute
// in the whole fleet.
func NewWeightStoreLimiter(loadsPerMinute int) *WeightStoreLimiter {
	return &WeightStoreLimiter{fleetRate: float64(loadsPerMinute) / secondsPerMinute}
}

// Allow reports whether this router, as one of the given number of routers, may
// start a load now, and counts the load if so. The first call after the start
// never allows a load, so that restarts don't raise the rate.
func (s *WeightStoreLimiter) Allow(routers int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	routerRate := rate.Limit(s.fleetRate / float64(max(routers, 1)))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(routerRate, 1)
		s.limiter.Allow()
		s.routers = routers
		return false
	}
	if s.routers != routers {
		s.limiter.SetLimit(routerRate)
		s.routers = routers
	}
	return s.limiter.Allow()
}
