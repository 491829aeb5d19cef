package limit

import (
	"math"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// maxReported bounds the limits in one report.
const maxReported = 48

// FillReport adds the known limits, and this VM's demand for the services that have some, to a
// report.
func (l *Limiter) FillReport(report *gossip.Report, now clock.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	services := map[string]bool{}
	for key, known := range l.limits {
		services[known.service] = true
		if len(report.Limits) == maxReported {
			continue // The order of a map is random, so the others come next time.
		}
		report.Limits = append(report.Limits, gossip.EndpointLimit{
			Endpoint: key.ID, StartedMS: key.StartedMS, Service: known.service,
			PerThousandSeconds: toThousands(known.perSecond), AgeMS: now.Sub(known.at).Milliseconds(),
		})
	}
	for service := range services {
		if own, ok := l.own[service]; ok {
			report.Demands = append(report.Demands, gossip.ServiceDemand{Service: service, Requests: gossip.ToUnits(own.asOf(now))})
		}
	}
}

// toThousands returns a rate per second as one per 1,000 seconds.
func toThousands(perSecond float64) int {
	return int(math.Round(min(perSecond, maxPerSecond) * 1000))
}

// maxPerSecond bounds reported limits.
const maxPerSecond = 1e6

// expire drops what no longer counts. The caller holds l.mu.
func (l *Limiter) expire(now clock.Boot) {
	for key, known := range l.limits {
		age := now.Sub(known.at)
		switch {
		case known.perSecond == 0 && age > liftedTTL:
			delete(l.limits, key)
		case age > limitTTL:
			l.change(key, known, 0, now)
			delete(l.limits, key)
		}
	}
	for _, peers := range l.peers {
		for address, peer := range peers {
			if now.Sub(peer.at) > demandTTL {
				delete(peers, address)
			}
		}
	}
}

// ApplyReport records the limits and the demand that another VM reports.
func (l *Limiter) ApplyReport(report gossip.Report, now clock.Boot) {
	if len(report.Limits) == 0 && len(report.Demands) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, reported := range report.Limits {
		l.apply(traffic.Instance{ID: reported.Endpoint, StartedMS: reported.StartedMS}, reported.Service, float64(reported.PerThousandSeconds)/1000, now.Add(-reported.Age()), now)
	}
	for _, d := range report.Demands {
		peers, ok := l.peers[d.Service]
		if !ok {
			peers = map[string]demand{}
			l.peers[d.Service] = peers
		}
		peers[report.Address] = demand{gossip.FromUnits(d.Requests), now}
	}
}
