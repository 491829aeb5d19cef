package limit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/retryafter"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// limit is the limit of an endpoint and what this VM has used of it.
type limit struct {
	service string
	// perSecond is the limit for all VMs together, 0 if the endpoint has lifted it.
	perSecond float64
	// at is when the endpoint named or lifted it.
	at     clock.Boot
	bucket bucket
}

const (
	// minPerSecond replaces lower limits, so that an endpoint can still be asked whether it has
	// lifted its limit.
	minPerSecond = 0.1
	// limitTTL is how long a limit counts that no answer has confirmed, liftedTTL how long a
	// lifted limit is reported to other VMs.
	limitTTL  = 10 * time.Minute
	liftedTTL = 15 * time.Second
	// maxLimits bounds the endpoints of which limits are kept.
	maxLimits = 4096
)

// Limiter keeps the limits of endpoints. It is safe for concurrent use.
type Limiter struct {
	// countVMs returns the number of VMs that share the limits, this one included.
	countVMs func() int
	// inForce is the number of limits that were not lifted.
	inForce atomic.Int64

	mu     sync.Mutex
	limits map[traffic.Instance]*limit
	// random spreads the first requests of all VMs under a new limit.
	random *rand.Rand
	// own is the demand of this VM by service, peers that of other VMs by service and address.
	own   map[string]*demand
	peers map[string]map[string]demand
	// shares are this VM's parts of the demand, by service.
	shares map[string]cachedShare
	// retries are the retry times of refused callers.
	retries *retryafter.Schedule
}

// New returns a Limiter. countVMs returns the number of VMs that share the limits, this one
// included; it must be safe for concurrent use. The seed must differ between VMs.
func New(countVMs func() int, seed uint64) *Limiter {
	return &Limiter{
		countVMs: countVMs,
		random:   rand.New(rand.NewPCG(seed, 0)),
		limits:   map[traffic.Instance]*limit{},
		own:      map[string]*demand{},
		peers:    map[string]map[string]demand{},
		shares:   map[string]cachedShare{},
		retries:  retryafter.NewSchedule(),
	}
}

// RecordRequest counts a request of a caller to a service.
func (l *Limiter) RecordRequest(service string, now clock.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, ok := l.own[service]
	if !ok {
		own = &demand{}
		l.own[service] = own
	}
	own.record(now)
}

// RecordAnswer records the limit that an endpoint names in an answer, in requests per second of all
// VMs together; named is false if it names none. As answers may overtake each other, only the answer
// to a request that was sent after the endpoint last named a limit lifts it.
func (l *Limiter) RecordAnswer(endpoint *traffic.Endpoint, perSecond float64, named bool, sentAt, now clock.Boot) {
	if !named && l.inForce.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if named {
		l.apply(endpoint.Instance(), endpoint.Service, max(perSecond, minPerSecond), now, now)
		return
	}
	l.apply(endpoint.Instance(), endpoint.Service, 0, sentAt, now)
}

// apply applies the limit that an endpoint named at a time, 0 for none, unless a newer one is known.
// The caller holds l.mu.
func (l *Limiter) apply(key traffic.Instance, service string, perSecond float64, at, now clock.Boot) {
	known, ok := l.limits[key]
	if !ok {
		if perSecond == 0 || len(l.limits) >= maxLimits {
			return
		}
		known = &limit{service: service}
		l.limits[key] = known
	}
	if at <= known.at {
		return
	}
	known.at = at
	if perSecond == known.perSecond {
		return
	}
	l.change(key, known, perSecond, now)
}

// change sets the limit of an endpoint. The caller holds l.mu.
func (l *Limiter) change(key traffic.Instance, known *limit, perSecond float64, now clock.Boot) {
	switch {
	case known.perSecond == 0:
		l.inForce.Add(1)
		known.bucket = bucket{tokens: l.random.Float64(), at: now}
		klog.InfoS("limit: an endpoint limits its requests", "endpoint", key.ID, "per_second", perSecond)
	case perSecond == 0:
		l.inForce.Add(-1)
		klog.InfoS("limit: an endpoint has lifted its limit", "endpoint", key.ID, "per_second", known.perSecond)
	}
	known.perSecond = perSecond
}

// InForce returns the number of endpoints with a limit.
func (l *Limiter) InForce() int64 {
	return l.inForce.Load()
}

// Allows reports whether this VM may send a request to an endpoint now.
func (l *Limiter) Allows(endpoint *traffic.Endpoint, now clock.Boot) bool {
	if l.inForce.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limitOf(endpoint)
	if known == nil {
		return true
	}
	known.bucket.refill(l.rate(known, now), now)
	return known.bucket.tokens >= 1
}

// Take counts a request that is sent to an endpoint.
func (l *Limiter) Take(endpoint *traffic.Endpoint, now clock.Boot) {
	if l.inForce.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limitOf(endpoint); known != nil {
		known.bucket.refill(l.rate(known, now), now)
		known.bucket.tokens--
	}
}

// limitOf returns the limit of an endpoint, nil if it has none. The caller holds l.mu.
func (l *Limiter) limitOf(endpoint *traffic.Endpoint) *limit {
	known := l.limits[endpoint.Instance()]
	if known == nil || known.perSecond == 0 {
		return nil
	}
	return known
}

// RetryAfter returns how long a caller should wait that is refused because all endpoints of a
// service have reached their limits. limited is false if some endpoint has no limit. Successive
// callers get increasing times, so that they return at the rate that the limits allow.
func (l *Limiter) RetryAfter(service string, endpoints []*traffic.Endpoint, now clock.Boot) (after time.Duration, limited bool) {
	if l.inForce.Load() == 0 || len(endpoints) == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	total, first := 0.0, retryafter.Max
	for _, endpoint := range endpoints {
		known := l.limitOf(endpoint)
		if known == nil {
			return 0, false
		}
		rate := l.rate(known, now)
		known.bucket.refill(rate, now)
		total += rate
		first = min(first, known.bucket.wait(rate))
	}
	return l.retries.Next(service, total, first, now), true
}
