package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
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
// fleets all that were not heard from since the last one, in larger ones the
// next of a shuffled order.
func (t *Table) Probes(now time.Time, period time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) <= ProbeAll {
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

// notHeard returns the peers whose last exchange would be older than a period
// before the next one.
func (t *Table) notHeard(now time.Time, period time.Duration) []string {
	var addresses []string
	for address, status := range t.peers {
		if now.Sub(status.Heard) >= period/2 {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
