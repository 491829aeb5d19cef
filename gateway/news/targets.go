package news

import (
	"iter"
	"math/rand/v2"
	"sort"
)

// shuffled yields the members in a random order, which is drawn as far as the caller goes.
// The caller holds the lock.
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

// Targets returns the addresses to send reports to.
func (t *Table) Targets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]string, 0, len(t.list)+len(t.seeds))
	for _, member := range t.list {
		targets = append(targets, member.Report.Address)
	}
	targets = append(targets, t.strangers()...)
	sort.Strings(targets)
	return targets
}

// strangers returns the addresses of VMs that were never heard of. The caller holds the
// lock.
func (t *Table) strangers() []string {
	var strangers []string
	for address := range t.told {
		strangers = append(strangers, address)
	}
	for _, seed := range t.seeds {
		_, isMember := t.members[seed]
		_, isTold := t.told[seed]
		if !isMember && !isTold && seed != t.self {
			strangers = append(strangers, seed)
		}
	}
	sort.Strings(strangers)
	return strangers
}

// Sample returns the addresses that get one report in a large fleet, drawn at random:
// near VMs of the given failure domain and far other ones. A VM that was never heard of
// is as likely among the far ones as any other.
func (t *Table) SampleTargets(domain string, near, far int, random *rand.Rand) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := make([]string, 0, near+far)
	strangers := t.strangers()
	if len(strangers) > 0 && far > 0 && random.IntN(len(strangers)+len(t.list)) < len(strangers) {
		chosen = append(chosen, strangers[random.IntN(len(strangers))])
		far--
	}
	for member := range t.shuffled(random) {
		left := &far
		if member.Report.FailureDomain == domain {
			left = &near
		}
		if *left > 0 {
			*left--
			chosen = append(chosen, member.Report.Address)
		}
		if near == 0 && far == 0 {
			break
		}
	}
	return chosen
}
