package gossip

import (
	"iter"
	"math/rand/v2"
	"sort"
)

// shuffled yields the members in random order. It shuffles t.list only as far as the
// caller iterates. The caller holds the lock.
func (t *Table) shuffled(random *rand.Rand) iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for i := range t.list {
			t.swap(i, i+random.IntN(len(t.list)-i))
			if !yield(t.list[i]) {
				return
			}
		}
	}
}

// Targets returns the addresses of all members and of VMs that were never heard from,
// sorted.
func (t *Table) Targets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]string, 0, len(t.list)+len(t.seeds))
	for _, member := range t.list {
		targets = append(targets, member.Report.Address)
	}
	targets = append(targets, t.unheardAddresses()...)
	sort.Strings(targets)
	return targets
}

// unheardAddresses returns the sorted addresses of seeds and advertised VMs that are not
// members, since nothing was heard of them yet. The caller holds the lock.
func (t *Table) unheardAddresses() []string {
	var addresses []string
	for address := range t.unheard {
		addresses = append(addresses, address)
	}
	for _, seed := range t.seeds {
		_, isMember := t.members[seed]
		_, isUnheard := t.unheard[seed]
		if !isMember && !isUnheard && seed != t.self {
			addresses = append(addresses, seed)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// SampleTargets returns random addresses that get one report in a large fleet: near VMs
// of the given failure domain and far VMs of other ones. VMs that were never heard of are
// as likely among the far ones as members.
func (t *Table) SampleTargets(domain string, near, far int, random *rand.Rand) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]string, 0, near+far)
	unheard := t.unheardAddresses()
	if len(unheard) > 0 && far > 0 && random.IntN(len(unheard)+len(t.list)) < len(unheard) {
		targets = append(targets, unheard[random.IntN(len(unheard))])
		far--
	}
	for member := range t.shuffled(random) {
		remaining := &far
		if member.Report.FailureDomain == domain {
			remaining = &near
		}
		if *remaining > 0 {
			*remaining--
			targets = append(targets, member.Report.Address)
		}
		if near == 0 && far == 0 {
			break
		}
	}
	return targets
}
