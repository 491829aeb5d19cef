package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/rank"
)

// probeOrder cycles through all peers in shuffled order, so that each peer is
// probed once before any is probed again.
type probeOrder struct {
	remaining []string
}

// reset starts a new cycle, for a changed list of peers.
func (o *probeOrder) reset() {
	o.remaining = nil
}

// probesPerPeriod is the number of peers that a router of a large fleet probes in
// each period.
const probesPerPeriod = 1

// Probes returns the addresses of the peers to probe in the period that starts at
// now. In fleets of up to MaxPeersProbedAtOnce peers, one side of each pair probes
// the other; in larger ones the next peers in shuffled order are probed.
func (t *Table) Probes(now time.Time, period time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) <= MaxPeersProbedAtOnce {
		return t.pairProbes(now, period)
	}
	var probes []string
	for len(probes) < probesPerPeriod {
		if len(t.probes.remaining) == 0 {
			t.probes.remaining = slices.Sorted(maps.Keys(t.peers))
			rand.Shuffle(len(t.probes.remaining), func(i, j int) {
				t.probes.remaining[i], t.probes.remaining[j] = t.probes.remaining[j], t.probes.remaining[i]
			})
		}
		probes = append(probes, t.probes.remaining[0])
		t.probes.remaining = t.probes.remaining[1:]
	}
	return probes
}

// pairProbes returns the peers with which this router initiates the exchange of
// each period, those that should have initiated one and did not, and those that
// have not acknowledged this router's identity.
func (t *Table) pairProbes(now time.Time, period time.Duration) []string {
	var addresses []string
	for address, status := range t.peers {
		late := now.Sub(status.HeardAt) > 3*period/2
		if late || !status.knowsIdentity() || initiates(t.self.Address, address) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// initiates reports whether self initiates the exchanges with the peer at address.
// Exactly one side of each pair does.
func initiates(self, address string) bool {
	first := rank.Key(min(self, address), max(self, address))%2 == 0
	return first == (self < address)
}
