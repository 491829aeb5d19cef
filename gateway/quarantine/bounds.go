package quarantine

import (
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// maxObservations bounds the observations that a Ledger keeps, maxCrashes the crashes.
	maxObservations = 512
	maxCrashes      = 1024
	// observationTTL is how long an observation counts that led to no quarantine,
	// quarantineTTL is the same for one that did.
	observationTTL = 10 * time.Minute
	quarantineTTL  = 2 * maxTerm
	// clearanceTTL is how long an answer that clears a suspected part is reported.
	clearanceTTL = 15 * time.Second
)

// expire drops observations that no longer count. The caller holds l.mu.
func (l *Ledger) expire(now clock.Boot) {
	for key, o := range l.observations.byKey {
		age := now.Sub(o.At)
		if age <= observationTTL || age <= quarantineTTL && l.supportsQuarantine(o) {
			continue
		}
		l.observations.remove(key)
		l.stale = true
	}
	for engine, at := range l.crashes {
		if now.Sub(at) > observationTTL {
			delete(l.crashes, engine)
		}
	}
	for address, peer := range l.peers {
		if now.Sub(peer.reportedAt) > peerTTL {
			delete(l.peers, address)
		}
	}
	for part, until := range l.clearances {
		if now >= until {
			delete(l.clearances, part)
		}
	}
}

// dropOldest drops the oldest observation on which no quarantine rests, if possible one that
// suspects only the request's own part. The caller holds l.mu.
func (l *Ledger) dropOldest() {
	var oldest *Observation
	oldestShared := false
	for _, o := range l.observations.byKey {
		if l.supportsQuarantine(o) {
			continue
		}
		shared := l.suspectsShared(o)
		if oldest == nil || oldestShared && !shared || shared == oldestShared && compareObservations(o, oldest) < 0 {
			oldest, oldestShared = o, shared
		}
	}
	if oldest != nil {
		l.observations.remove(oldest.key())
	}
}

// dropOldestCrash forgets when the engine crashed that did so first. The caller holds l.mu.
func (l *Ledger) dropOldestCrash() {
	var oldest traffic.Instance
	var first clock.Boot
	for engine, at := range l.crashes {
		if first == 0 || at < first || at == first && compareInstances(engine, oldest) < 0 {
			oldest, first = engine, at
		}
	}
	delete(l.crashes, oldest)
}

// supportsQuarantine reports whether a quarantine rests on an observation. The caller holds l.mu.
func (l *Ledger) supportsQuarantine(o *Observation) bool {
	return slices.ContainsFunc(l.quarantines, func(q Quarantine) bool { return slices.Contains(q.basis, o) })
}
