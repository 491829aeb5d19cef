package choice

import (
	"math/rand/v2"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// warmUpSlotShare is the share of its slots that an endpoint gets as requests per second of
	// all VMs together while it warms up.
	warmUpSlotShare = 1.0 / 6
	// warmUpBurst is how long a VM saves its unused part, beyond one request.
	warmUpBurst = 200 * time.Millisecond
)

// warmUp is the warm-up phase of an endpoint after its start, and what this VM may send it in that
// phase. The zero value is an endpoint that is warm.
type warmUp struct {
	// until is when the phase ends.
	until clock.Boot
	// tokens is the number of requests that this VM may send, as of at. It may be negative.
	tokens float64
	at     clock.Boot
}

// warmUpLeft returns the remaining time of an endpoint's warm-up phase, 0 if its service publishes a warm-up rate: package
// warmup then limits the requests.
func warmUpLeft(snapshot *knowledge.Snapshot, endpoint *traffic.Endpoint) time.Duration {
	if snapshot.Configuration != nil && snapshot.Configuration.Services[endpoint.Service].HasWarmUpRate() {
		return 0
	}
	return endpoint.WarmUpLeft
}

// report applies the rest of the phase that the endpoint has published. A later report may only
// shorten the phase, as an entry may be read long after it was written.
func (w *warmUp) report(left time.Duration, random *rand.Rand, now clock.Boot) {
	switch {
	case left <= 0:
		*w = warmUp{}
	case w.until == 0:
		// Random tokens spread the first requests of many VMs.
		*w = warmUp{until: now.Add(left), tokens: random.Float64(), at: now}
	default:
		w.until = min(w.until, now.Add(left))
	}
}

// full reports whether the endpoint warms up and this VM has sent it its part. vms is the number of
// VMs that share the endpoint.
func (w *warmUp) full(endpoint *traffic.Endpoint, vms int, now clock.Boot) bool {
	if now >= w.until {
		return false
	}
	w.refill(endpoint, vms, now)
	return w.tokens < 1
}

// refill adds the tokens for the time since the last call.
func (w *warmUp) refill(endpoint *traffic.Endpoint, vms int, now clock.Boot) {
	perSecond := warmUpSlotShare * float64(endpoint.Slots) / float64(max(1, vms))
	elapsed := now.Sub(w.at)
	if elapsed <= 0 {
		return
	}
	w.tokens = min(w.tokens+perSecond*elapsed.Seconds(), 1+perSecond*warmUpBurst.Seconds())
	w.at = now
}

// take counts a request that is sent to the endpoint.
func (w *warmUp) take(now clock.Boot) {
	if now < w.until {
		w.tokens--
	}
}
