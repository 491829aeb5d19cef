package news

import (
	"math/rand/v2"
	"sort"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// Pulses returns the member of a failure domain that ranks first for duties, and up to
// limit of those that count as alive, chosen at random, so that each one is passed on as
// often as any other.
func (t *Table) SampleHeartbeats(domain string, limit int, random *rand.Rand, now clock.Boot) []Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	pulses := make([]Heartbeat, 0, 1+min(limit, len(t.list)))
	if first := t.firstOf(domain, now); first != nil {
		pulses = append(pulses, first.pulse(now))
	}
	for member := range t.shuffled(random) {
		if len(pulses) >= limit {
			break
		}
		if t.lives(member, now) {
			pulses = append(pulses, member.pulse(now))
		}
	}
	return pulses
}

// firstOf returns the living member of a failure domain that ranks first for duties, nil
// if there is none: all VMs have to agree on it soon. The caller holds the lock.
func (t *Table) firstOf(domain string, now clock.Boot) *Member {
	var first *Member
	for _, member := range t.list {
		if member.Report.FailureDomain != domain || !t.lives(member, now) {
			continue
		}
		if first == nil || member.Rank.Before(first.Rank) {
			first = member
		}
	}
	return first
}

// lives reports whether a member reported lately and does not leave. The caller holds
// the lock.
func (t *Table) lives(member *Member, now clock.Boot) bool {
	return now.Sub(member.LastHeard) <= t.aliveFor() && !member.Report.Leaving
}

// Large reports whether the fleet is too large for each VM to report to all
// others.
func (t *Table) LargeFleet() bool {
	return t.KnownVMs() > sendAll
}

// Known returns the number of VMs that were heard of.
func (t *Table) KnownVMs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list)
}

// knowsMore reports whether this VM has heard of more than twice as many others as the
// sender of a report.
func (t *Table) knowsMore(report Report) bool {
	return t.KnownVMs() > 2*report.KnownVMs+1
}

// Each calls visit with the members that reported lately and don't leave, in no order.
// visit must not keep the member nor call the Table.
func (t *Table) ForEachAlive(now clock.Boot, visit func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range t.list {
		if t.lives(member, now) {
			visit(member)
		}
	}
}

// Alive returns the same members in the order of their addresses.
func (t *Table) Alive(now clock.Boot) []Member {
	var alive []Member
	t.ForEachAlive(now, func(member *Member) { alive = append(alive, *member) })
	sort.Slice(alive, func(i, j int) bool { return alive[i].Report.Address < alive[j].Report.Address })
	return alive
}

// Count returns the number of VMs that count as alive, with this one. settled is
// false while nobody else was ever heard.
func (t *Table) CountAlive(now clock.Boot) (count int, settled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count = 1
	for _, member := range t.list {
		if now.Sub(member.LastHeard) <= t.aliveFor() {
			count++
		}
	}
	return count, len(t.members) > 0
}
