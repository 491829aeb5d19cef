package quarantine

import (
	"maps"
	"slices"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// priorCrashed of priorRequests requests are assumed to have ended in a crash.
	priorCrashed  = 0.3
	priorRequests = 10.0
	// peerTTL is how long the outcomes that another VM reported count.
	peerTTL = 3 * estimate.HalfLife
)

// peerOutcomes are the recent requests of another VM to each service, and when it reported them.
type peerOutcomes struct {
	byService  map[string]estimate.Outcomes
	reportedAt clock.Boot
}

func newPeerOutcomes(reported []gossip.ServiceCrashes, now clock.Boot) peerOutcomes {
	p := peerOutcomes{map[string]estimate.Outcomes{}, now}
	for _, counts := range reported {
		p.byService[counts.Service] = estimate.NewOutcomes(gossip.FromUnits(counts.Answered), gossip.FromUnits(counts.Crashed), 1, now)
	}
	return p
}

// recordOutcome counts a request of this VM to a service. The caller holds l.mu.
func (l *Ledger) recordOutcome(service string, crashed bool, now clock.Boot) {
	outcomes := l.outcomes[service]
	outcomes.Record(crashed, now)
	l.outcomes[service] = outcomes
}

// crashShare returns the share of the recent requests of all VMs to a service that ended in a crash.
// The caller holds l.mu.
func (l *Ledger) crashShare(service string, now clock.Boot) float64 {
	all := l.outcomes[service]
	for _, address := range slices.Sorted(maps.Keys(l.peers)) {
		all.Add(l.peers[address].byService[service], now)
	}
	return (all.Failed + priorCrashed) / (all.Total() + priorRequests)
}

// serviceCrashes returns this VM's recent requests to the services of known observations. The caller
// holds l.mu.
func (l *Ledger) serviceCrashes(now clock.Boot) []gossip.ServiceCrashes {
	services := map[string]bool{}
	for _, o := range l.observations.byKey {
		services[o.Service] = true
	}
	var reported []gossip.ServiceCrashes
	for _, service := range inTurn(slices.Sorted(maps.Keys(services)), l.turn, maxReportedServices) {
		own := l.outcomes[service].AsOf(now)
		reported = append(reported, gossip.ServiceCrashes{Service: service, Crashed: gossip.ToUnits(own.Failed), Answered: gossip.ToUnits(own.Good)})
	}
	return reported
}
