package gossip

import (
	"math/rand/v2"
	"sort"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// SampleHeartbeats returns heartbeats of at most limit members that are alive: first the
// one of the failure domain that ranks first, then members in random order, so that each
// is relayed equally often.
func (t *Table) SampleHeartbeats(domain string, limit int, random *rand.Rand, now clock.Boot) []Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	heartbeats := make([]Heartbeat, 0, 1+min(limit, len(t.list)))
	if first := t.firstRanked(domain, now); first != nil {
		heartbeats = append(heartbeats, first.heartbeat(now))
	}
	for member := range t.shuffled(random) {
		if len(heartbeats) >= limit {
			break
		}
		if t.isAlive(member, now) {
			heartbeats = append(heartbeats, member.heartbeat(now))
		}
	}
	return heartbeats
}

// firstRanked returns the member of a failure domain that ranks first among those alive,
// nil if there is none. Its heartbeat is always relayed since all VMs have to agree on
// it soon. The caller holds the lock.
func (t *Table) firstRanked(domain string, now clock.Boot) *Member {
	var first *Member
	for _, member := range t.list {
		if member.Report.FailureDomain != domain || !t.isAlive(member, now) {
			continue
		}
		if first == nil || member.Rank.Before(first.Rank) {
			first = member
		}
	}
	return first
}

// isAlive reports whether a member was heard of recently and is not shutting down. The
// caller holds the lock.
func (t *Table) isAlive(member *Member, now clock.Boot) bool {
	return now.Sub(member.LastHeard) <= t.aliveTimeout() && !member.Report.Leaving
}

// LargeFleet reports whether the fleet is too large for each VM to send its reports to
// all others.
func (t *Table) LargeFleet() bool {
	return t.KnownVMs() > broadcastLimit
}

// KnownVMs returns the number of members, dead ones included.
func (t *Table) KnownVMs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list)
}

// hasLargerView reports whether this VM knows more than twice as many VMs as the sender
// of a report.
func (t *Table) hasLargerView(report Report) bool {
	return t.KnownVMs() > 2*report.KnownVMs+1
}

// ForEachAlive calls visit with each member that is alive and not shutting down, in no
// particular order. It holds the lock meanwhile: visit must not keep the member nor call
// the Table.
func (t *Table) ForEachAlive(now clock.Boot, visit func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range t.list {
		if t.isAlive(member, now) {
			visit(member)
		}
	}
}

// Knows reports whether a VM with the given IP address is known, alive or not.
func (t *Table) Knows(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.members[address]
	return known
}

// Alive returns copies of the members that ForEachAlive visits, sorted by address.
func (t *Table) Alive(now clock.Boot) []Member {
	var alive []Member
	t.ForEachAlive(now, func(member *Member) { alive = append(alive, *member) })
	sort.Slice(alive, func(i, j int) bool { return alive[i].Report.Address < alive[j].Report.Address })
	return alive
}

// CountAlive returns the number of VMs that are alive or shutting down, including this
// one. settled is false while no other VM is known.
func (t *Table) CountAlive(now clock.Boot) (count int, settled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count = 1
	for _, member := range t.list {
		if now.Sub(member.LastHeard) <= t.aliveTimeout() {
			count++
		}
	}
	return count, len(t.members) > 0
}
