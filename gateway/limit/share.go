package limit

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// demandTTL is how long the demand that another VM reported counts.
	demandTTL = 5 * time.Second
	// minDemandShare is the share of the mean demand that each VM has at least, so that its
	// first requests find something.
	minDemandShare = 0.1
	// shareTTL is how long a computed share is used.
	shareTTL = 100 * time.Millisecond
)

// cachedShare is a share, as of at.
type cachedShare struct {
	share float64
	at    clock.Boot
}

// rate returns the requests per second that this VM may send under a limit. The caller holds
// l.mu.
func (l *Limiter) rate(known *limit, now clock.Boot) float64 {
	cached, ok := l.shares[known.service]
	if !ok || now.Sub(cached.at) >= shareTTL {
		cached = cachedShare{l.share(known.service, now), now}
		l.shares[known.service] = cached
	}
	return known.perSecond * cached.share
}

// share returns this VM's part of the demand for a service. VMs whose demand is not known count as
// the mean. The caller holds l.mu.
func (l *Limiter) share(service string, now clock.Boot) float64 {
	own := 0.0
	if d, ok := l.own[service]; ok {
		own = d.asOf(now)
	}
	total, known := own, 1
	for _, peer := range l.peers[service] {
		if now.Sub(peer.at) <= demandTTL {
			total += peer.requests
			known++
		}
	}
	vms := max(known, l.countVMs())
	mean := total / float64(known)
	if mean == 0 {
		return 1 / float64(vms)
	}
	return (own + minDemandShare*mean) / (float64(vms) * mean * (1 + minDemandShare))
}
