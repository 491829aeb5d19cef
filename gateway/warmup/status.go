package warmup

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Status describes a cold endpoint.
type Status struct {
	Endpoint string `json:"endpoint"`
	// LeftMS is how long the endpoint stays cold as far as this VM knows, in milliseconds.
	LeftMS int64 `json:"left_ms"`
	// PerSecond is the number of requests that it takes per second from all VMs together.
	PerSecond float64 `json:"per_second"`
	// PeriodMS is the time between two turns of this VM, WaitMS the time until the next one, in milliseconds.
	PeriodMS int64 `json:"period_ms"`
	WaitMS   int64 `json:"wait_ms"`
}

// Status returns the cold ones among the given endpoints, in their order.
func (l *Limiter) Status(endpoints []*traffic.Endpoint, now clock.Boot) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Status
	for _, endpoint := range endpoints {
		known := l.cold(endpoint, now)
		if known == nil {
			continue
		}
		period := l.period(known, now)
		all = append(all, Status{endpoint.ID, known.coldUntil.Sub(now).Milliseconds(), known.perSecond, period.Milliseconds(), l.wait(known, now).Milliseconds()})
	}
	return all
}

// Cold returns the number of cold endpoints.
func (l *Limiter) Cold(now clock.Boot) int64 {
	if !l.AnyCold(now) {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	count := int64(0)
	for _, known := range l.warmUps {
		if now < known.coldUntil {
			count++
		}
	}
	return count
}
