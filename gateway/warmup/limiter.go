package warmup

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/retryafter"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Limiter limits the requests of this VM to cold endpoints. It is safe for concurrent use.
type Limiter struct {
	// countVMs returns the number of VMs that share an endpoint, this one included.
	countVMs func() int
	// bounds returns the bounds of the settings.
	bounds func() Bounds
	// coldUntil is the latest clock.Boot at which any known endpoint is cold.
	coldUntil atomic.Int64

	mu      sync.Mutex
	warmUps map[traffic.Instance]*warmUp
	// evacuated are the failure domains that were evacuated in the last snapshot.
	evacuated map[string]bool
	// random spreads the turns of VMs.
	random *rand.Rand
	// retries are the retry times of refused callers.
	retries *retryafter.Schedule
	// vms is the result of countVMs at countedAt.
	vms       int
	countedAt clock.Boot
}

// warmUp is what is known of an endpoint whose service publishes a warm-up rate.
type warmUp struct {
	// coldUntil is when the endpoint becomes warm.
	coldUntil clock.Boot
	// position and sequence are those of the endpoint's last entry, statedLeft is how long the endpoint stays cold
	// according to it.
	position   traffic.Position
	sequence   int64
	statedLeft time.Duration
	// perSecond is the number of requests per second that the endpoint takes from all VMs together while it is cold.
	perSecond float64
	turns     turns
}

// New returns a Limiter. countVMs returns the number of VMs that share an endpoint, this one included; both functions
// must be safe for concurrent use. The seed must differ between VMs.
func New(countVMs func() int, bounds func() Bounds, seed uint64) *Limiter {
	return &Limiter{
		countVMs:  countVMs,
		bounds:    bounds,
		warmUps:   map[traffic.Instance]*warmUp{},
		evacuated: map[string]bool{},
		random:    rand.New(rand.NewPCG(seed, 0)),
		retries:   retryafter.NewSchedule(),
	}
}

// Update applies a new snapshot.
func (l *Limiter) Update(snapshot *knowledge.Snapshot, now clock.Boot) {
	if snapshot.Configuration == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[traffic.Instance]bool, len(l.warmUps))
	for _, endpoint := range snapshot.Endpoints {
		service := snapshot.Configuration.Services[endpoint.Service]
		if !service.HasWarmUpRate() {
			continue
		}
		listed[endpoint.Instance()] = true
		known := l.apply(endpoint, service.WarmUpRate, now)
		if l.evacuated[endpoint.FailureDomain] && !snapshot.IsEvacuated(endpoint) {
			// Endpoints lose their caches while they get no requests. Their entries may show that later.
			l.setCold(endpoint, known, service.WarmUpTime, now)
		}
	}
	for instance := range l.warmUps {
		if !listed[instance] {
			delete(l.warmUps, instance)
		}
	}
	clear(l.evacuated)
	for domain := range snapshot.Evacuated {
		l.evacuated[domain] = true
	}
}

// maxEntryDelay is the longest usual time between the write and the read of an entry. An entry that states a remaining
// time which exceeds the expected one by more than this shows that the endpoint has turned cold again.
const maxEntryDelay = time.Second

// apply applies the entry of an endpoint and returns what is known of it. The caller holds l.mu.
func (l *Limiter) apply(endpoint *traffic.Endpoint, perSecond float64, now clock.Boot) *warmUp {
	known, ok := l.warmUps[endpoint.Instance()]
	if !ok {
		known = &warmUp{}
		l.warmUps[endpoint.Instance()] = known
	}
	known.perSecond = perSecond
	// A store that came back from a copy lists the same write at another position.
	sameWrite := endpoint.StartedMS != 0 && endpoint.Sequence != 0 && endpoint.Sequence == known.sequence && endpoint.WarmUpLeft == known.statedLeft
	if known.position == endpoint.Position || sameWrite {
		known.position = endpoint.Position
		return known
	}
	before, expected := known.statedLeft, max(0, known.coldUntil.Sub(now))
	known.position, known.sequence, known.statedLeft = endpoint.Position, endpoint.Sequence, endpoint.WarmUpLeft
	switch {
	case endpoint.WarmUpLeft <= 0:
		known.coldUntil = 0
	case endpoint.WarmUpLeft >= before, endpoint.WarmUpLeft > expected+maxEntryDelay:
		l.setCold(endpoint, known, endpoint.WarmUpLeft, now) // It has just started, or turned cold again.
	default:
		known.coldUntil = min(known.coldUntil, now.Add(endpoint.WarmUpLeft)) // An entry may be read long after it was written.
	}
	return known
}

// setCold counts an endpoint as cold for a time. The caller holds l.mu.
func (l *Limiter) setCold(endpoint *traffic.Endpoint, known *warmUp, left time.Duration, now clock.Boot) {
	if now >= known.coldUntil {
		period := l.period(known, now)
		known.turns = l.drawTurns(period, now)
		klog.InfoS("warmup: endpoint is cold", "endpoint", endpoint.ID, "left_ms", left.Milliseconds(), "per_second", known.perSecond, "turn_ms", period.Milliseconds())
	}
	known.coldUntil = max(known.coldUntil, now.Add(left))
	l.coldUntil.Store(max(l.coldUntil.Load(), int64(known.coldUntil)))
}

// countTTL is how long a number of VMs is used: a choice asks for it once for each cold endpoint.
const countTTL = 100 * time.Millisecond

// period returns the time between two turns of this VM at a cold endpoint. The caller holds l.mu.
func (l *Limiter) period(known *warmUp, now clock.Boot) time.Duration {
	if l.vms == 0 || now.Sub(l.countedAt) >= countTTL {
		l.vms, l.countedAt = max(1, l.countVMs()), now
	}
	rate := fleetRate(known.perSecond, l.bounds()) / float64(l.vms)
	return max(1, time.Duration(float64(time.Second)/rate))
}

// AnyCold reports whether any known endpoint is cold.
func (l *Limiter) AnyCold(now clock.Boot) bool {
	return int64(now) < l.coldUntil.Load()
}

// Allows reports whether this VM may send a request to an endpoint now.
func (l *Limiter) Allows(endpoint *traffic.Endpoint, now clock.Boot) bool {
	if !l.AnyCold(now) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.cold(endpoint, now)
	return known == nil || l.wait(known, now) == 0
}

// wait returns how long it takes until this VM has a turn at a cold endpoint. A turn that was drawn for a larger fleet is
// drawn again: a VM that has just started assumes many others. The caller holds l.mu.
func (l *Limiter) wait(known *warmUp, now clock.Boot) time.Duration {
	period := l.period(known, now)
	if known.turns.next.Sub(now) > period {
		known.turns = l.drawTurns(period, now)
	}
	return known.turns.wait(period, now)
}

// drawTurns returns turns that begin at random, so that those of many VMs are spread. The caller holds l.mu.
func (l *Limiter) drawTurns(period time.Duration, now clock.Boot) turns {
	return turns{next: now.Add(time.Duration(l.random.Float64() * float64(period)))}
}

// Take uses a turn for a request to an endpoint. It returns false if there is none: another request may have used it since
// Allows was called. An endpoint that is not cold needs none.
func (l *Limiter) Take(endpoint *traffic.Endpoint, now clock.Boot) bool {
	if !l.AnyCold(now) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.cold(endpoint, now)
	if known == nil {
		return true
	}
	if l.wait(known, now) > 0 {
		return false
	}
	known.turns.use(l.period(known, now), now)
	return true
}

// cold returns what is known of a cold endpoint, nil for any other. The caller holds l.mu.
func (l *Limiter) cold(endpoint *traffic.Endpoint, now clock.Boot) *warmUp {
	known := l.warmUps[endpoint.Instance()]
	if known == nil || now >= known.coldUntil {
		return nil
	}
	return known
}

// RetryAfter returns how long a caller should wait that is refused because all endpoints of a service are cold and have
// no turn for this VM. limited is false if some endpoint is not cold. Successive callers get increasing times, so that
// they return at the rate of the turns.
func (l *Limiter) RetryAfter(service string, endpoints []*traffic.Endpoint, now clock.Boot) (after time.Duration, limited bool) {
	if !l.AnyCold(now) || len(endpoints) == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond, first := 0.0, retryafter.Max
	for _, endpoint := range endpoints {
		known := l.cold(endpoint, now)
		if known == nil {
			return 0, false
		}
		period := l.period(known, now)
		perSecond += 1 / period.Seconds()
		first = min(first, l.wait(known, now), known.coldUntil.Sub(now))
	}
	return l.retries.Next(service, perSecond, first, now), true
}
