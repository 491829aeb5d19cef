package reuse

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// memory is how long a reset counts.
	memory = 5 * time.Second
	// minIdle is how long a connection must have been idle for its reset to count: an earlier one
	// has another cause than that it was idle, and so may the others of that endpoint.
	minIdle = 100 * time.Millisecond
	// usableShare is the share of the shortest idle time with a reset for which connections may be
	// idle.
	usableShare = 0.5
	// minEndpoints and minEndpointShare are the number and the share of a service's endpoints with
	// resets from which on the whole service is suspected.
	minEndpoints     = 2
	minEndpointShare = 0.04
	// maxResets bounds the endpoints of which resets are kept.
	maxResets = 4096
)

// Unlimited is the idle time that is allowed where no reset is known.
const Unlimited = time.Duration(math.MaxInt64)

// reset is the newest reset of an endpoint's connections.
type reset struct {
	service string
	// idle is the shortest time for which such a connection had been idle, 0 for a new one.
	idle time.Duration
	at   clock.Boot
}

// counts reports whether the endpoint resets connections because they were idle.
func (r *reset) counts() bool {
	return r.idle >= minIdle
}

// Resets keeps the resets of idle connections. It is safe for concurrent use.
type Resets struct {
	// known is the number of resets, for a quick look without mu.
	known atomic.Int64

	mu     sync.Mutex
	resets map[traffic.Instance]*reset
}

// New returns empty Resets.
func New() *Resets {
	return &Resets{resets: map[traffic.Instance]*reset{}}
}

// Record records that an endpoint which accepts connections has reset one that had been idle for the
// given time, 0 for a new one.
func (r *Resets) Record(endpoint *traffic.Endpoint, idle time.Duration, now clock.Boot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(endpoint.Instance(), endpoint.Service, idle, now, now)
}

// apply applies a reset at a time. The caller holds r.mu.
func (r *Resets) apply(key traffic.Instance, service string, idle time.Duration, at, now clock.Boot) {
	r.expire(now)
	if now.Sub(at) > memory {
		return
	}
	known, ok := r.resets[key]
	if ok {
		if known.counts() && idle < minIdle {
			klog.InfoS("endpoint: resets connections that were not idle, too", "endpoint", key.ID, "service", service)
		}
		known.idle, known.at = min(known.idle, idle), max(known.at, at)
		return
	}
	if len(r.resets) >= maxResets {
		return
	}
	r.resets[key] = &reset{service, idle, at}
	r.known.Store(int64(len(r.resets)))
	if idle < minIdle {
		return
	}
	klog.InfoS("endpoint: resets idle connections", "endpoint", key.ID, "service", service, "idle_ms", idle.Milliseconds(), "for_ms", memory.Milliseconds())
}

// expire drops the resets that no longer count. The caller holds r.mu.
func (r *Resets) expire(now clock.Boot) {
	for key, known := range r.resets {
		if now.Sub(known.at) > memory {
			delete(r.resets, key)
			if known.counts() {
				klog.InfoS("endpoint: no longer resets idle connections", "endpoint", key.ID, "service", known.service)
			}
		}
	}
	r.known.Store(int64(len(r.resets)))
}

// Empty reports whether no reset is kept. It takes no lock.
func (r *Resets) Empty() bool {
	return r.known.Load() == 0
}

// InForce returns the number of endpoints that reset idle connections.
func (r *Resets) InForce(now clock.Boot) int64 {
	if r.Empty() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	count := int64(0)
	for _, known := range r.resets {
		if known.counts() {
			count++
		}
	}
	return count
}

// MaxIdle returns for how long a connection to an endpoint may have been idle before a request goes on
// it. endpoints is the number of endpoints of its service. final reports whether the request fails with
// the connection; if not, only the resets of the endpoint itself count.
func (r *Resets) MaxIdle(endpoint *traffic.Endpoint, endpoints int, final bool, now clock.Boot) time.Duration {
	if r.Empty() {
		return Unlimited
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	idle := Unlimited
	if known, ok := r.resets[endpoint.Instance()]; ok && known.counts() {
		idle = known.idle
	}
	if final {
		idle = min(idle, r.serviceIdle(endpoint.Service, endpoints))
	}
	if idle == Unlimited {
		return Unlimited
	}
	return time.Duration(usableShare * float64(idle))
}

// serviceIdle returns the shortest idle time with a reset at a service that is suspected, Unlimited for
// other services: also for one of whose endpoints as many reset connections that were not idle. The
// caller holds r.mu.
func (r *Resets) serviceIdle(service string, endpoints int) time.Duration {
	count, others, shortest := 0, 0, Unlimited
	for _, known := range r.resets {
		switch {
		case known.service != service:
		case known.counts():
			count++
			shortest = min(shortest, known.idle)
		default:
			others++
		}
	}
	if count < minEndpoints || count <= others || float64(count) < minEndpointShare*float64(endpoints) {
		return Unlimited
	}
	return shortest
}
