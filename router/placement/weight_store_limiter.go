package placement

import (
	"sync"

	"golang.org/x/time/rate"
)

// StoreShare is this router's share of the weight store's rate. The shares of
// all routers sum to the whole rate while they have the same list of VMs. It
// is safe for concurrent use.
type WeightStoreLimiter struct {
	perSecond float64

	mu      sync.Mutex
	limiter *rate.Limiter
	routers int
}

const secondsPerMinute = 60

// NewStoreShare returns a StoreShare of loadsPerMinute for the whole fleet.
func NewWeightStoreLimiter(loadsPerMinute int) *WeightStoreLimiter {
	return &WeightStoreLimiter{perSecond: float64(loadsPerMinute) / secondsPerMinute}
}

// Allow reports whether this router may start a load now, as one of routers,
// and counts it. A router that has just started waits for its first turn, so
// that restarts add no loads.
func (s *WeightStoreLimiter) Allow(routers int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := rate.Limit(s.perSecond / float64(max(routers, 1)))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(share, 1)
		s.limiter.Allow()
		s.routers = routers
		return false
	}
	if s.routers != routers {
		s.limiter.SetLimit(share)
		s.routers = routers
	}
	return s.limiter.Allow()
}
