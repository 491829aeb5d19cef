package limit

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Status describes the limit of an endpoint.
type Status struct {
	Endpoint string `json:"endpoint"`
	// PerSecond is the limit for all VMs together, in requests per second, OwnPerSecond this
	// VM's part of it.
	PerSecond    float64 `json:"per_second"`
	OwnPerSecond float64 `json:"own_per_second"`
	// WaitMS is the time until this VM may send the next request, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// Status returns the limits of the given endpoints, in their order.
func (l *Limiter) Status(endpoints []*traffic.Endpoint, now clock.Boot) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Status
	for _, endpoint := range endpoints {
		known := l.limitOf(endpoint)
		if known == nil {
			continue
		}
		rate := l.rate(known, now)
		known.bucket.refill(rate, now)
		all = append(all, Status{endpoint.ID, known.perSecond, rate, known.bucket.wait(rate).Milliseconds()})
	}
	return all
}
