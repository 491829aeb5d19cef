package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/rank"
)

// probeOrder goes through all peers in shuffled order, so that each is probed
// once before any is probed again.
type probeOrder struct {
	left []string
}

func (o *probeOrder) reset() {
	o.left = nil
}

// probesPerPeriod is the number of peers that a router of a large fleet probes
// in each period.
const probesPerPeriod = 1

// Probes returns the peers to probe in the period that begins at now: in small
// fleets one side of each pair probes the other, in larger ones the next of a
// shuffled order is probed.
func (t *Table) Probes(now time.Time, period time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) <= MaxPeersProbedAtOnce {
		return t.notHeard(now, period)
	}
	var probes []string
	for len(probes) < probesPerPeriod {
		if len(t.order.left) == 0 {
			t.order.left = slices.Sorted(maps.Keys(t.peers))
			rand.Shuffle(len(t.order.left), func(i, j int) {
				t.order.left[i], t.order.left[j] = t.order.left[j], t.order.left[i]
			})
		}
		probes = append(probes, t.order.left[0])
		t.order.left = t.order.left[1:]
	}
	return probes
}

// notHeard returns the peers with which this router begins the exchange of a
// period, those that should have begun one and did not, and those that do not
// know this router's incarnation.
func (t *Table) notHeard(now time.Time, period time.Duration) []string {
	var addresses []string
	for address, status := range t.peers {
		late := now.Sub(status.HeardAt) > 3*period/2
		if late || !status.knowsUs() || begins(t.self.Address, address) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// begins reports whether self begins the exchanges with the peer. Just one of
// the two does.
func begins(self, address string) bool {
	first := rank.Key(min(self, address), max(self, address))%2 == 0
	return first == (self < address)
}
