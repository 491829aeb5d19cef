package news

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// aliveFor is how long a VM counts as alive after it was last heard of. In
	// fleets of more than steadyFleet VMs it is longer in proportion, as reports
	// do not grow with the fleet.
	aliveFor    = 1500 * time.Millisecond
	steadyFleet = 40
	// rememberFor is how long a silent VM is still sent reports.
	rememberFor = 60 * time.Second
	// memberLimit bounds the known VMs.
	memberLimit = 4096
)

// Table keeps the other VMs. It is safe for concurrent use.
type Table struct {
	self  string
	seeds []string

	mu      sync.Mutex
	members map[string]*Member
	// told are addresses that others named and that have not reported yet.
	told map[string]clock.Boot
	// alive are the addresses that counted as alive at the last check, lostAt is
	// when others ceased to.
	alive  map[string]bool
	lostAt map[string]clock.Boot
}

// NewTable returns a Table of a VM. seeds are the IP numbers of VMs to ask first.
func NewTable(self string, seeds []string) *Table {
	return &Table{
		self:    self,
		seeds:   seeds,
		members: map[string]*Member{},
		told:    map[string]clock.Boot{},
		alive:   map[string]bool{},
		lostAt:  map[string]clock.Boot{},
	}
}

// Receive takes in a report. It reports whether it is newer than what was known.
func (t *Table) Receive(report Report, now clock.Boot) bool {
	if report.Address == t.self || report.Address == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if report.Greeting {
		for _, pulse := range report.Pulses {
			t.receivePulse(pulse, now)
		}
		return false
	}
	member, ok := t.members[report.Address]
	if !ok {
		if len(t.members) >= memberLimit {
			return false
		}
		member = &Member{}
		t.members[report.Address] = member
	}
	if !t.isNewer(report, member, now) {
		return false
	}
	member.Report, member.Heard = report, now
	delete(t.told, report.Address)
	for _, pulse := range report.Pulses {
		t.receivePulse(pulse, now)
	}
	for _, address := range report.Members {
		if _, known := t.members[address]; !known && address != t.self && len(t.told) < memberLimit {
			t.told[address] = now
		}
	}
	return true
}

// isNewer reports whether a report goes before what is known of its sender. A
// lower incarnation does so once the higher one is silent: the VM's clock was set
// back before its process started anew. The caller holds the lock.
func (t *Table) isNewer(report Report, member *Member, now clock.Boot) bool {
	if report.Incarnation == member.Report.Incarnation {
		return report.Number > member.Report.Number
	}
	return report.Incarnation > member.Report.Incarnation || now.Sub(member.Heard) > t.aliveFor()
}

// receivePulse takes in when another VM was heard of.
func (t *Table) receivePulse(pulse Pulse, now clock.Boot) {
	heard := now.Add(-time.Duration(pulse.AgeMS) * time.Millisecond)
	if pulse.Address == t.self || pulse.AgeMS < 0 || now.Sub(heard) > t.aliveFor() {
		return
	}
	member, ok := t.members[pulse.Address]
	if !ok && len(t.members) >= memberLimit {
		return
	}
	if !ok || pulse.Incarnation > member.Report.Incarnation && heard > member.Heard {
		report := Report{Address: pulse.Address, Incarnation: pulse.Incarnation, FailureDomain: pulse.FailureDomain, Learned: pulse.Learned, AgeMS: -1}
		t.members[pulse.Address] = &Member{Report: report, Heard: heard}
		return
	}
	if pulse.Incarnation == member.Report.Incarnation {
		member.Heard = max(member.Heard, heard)
	}
}

// aliveFor returns how long a VM counts as alive. The caller holds the lock.
func (t *Table) aliveFor() time.Duration {
	return aliveFor * time.Duration(max(steadyFleet, len(t.members))) / steadyFleet
}

// Pulses returns up to limit of the members that count as alive, chosen at
// random, so that each one is passed on as often as any other.
func (t *Table) Pulses(limit int, random *rand.Rand, now clock.Boot) []Pulse {
	alive := t.Alive(now)
	random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var pulses []Pulse
	for _, member := range alive[:min(limit, len(alive))] {
		pulses = append(pulses, Pulse{
			Address:       member.Report.Address,
			Incarnation:   member.Report.Incarnation,
			AgeMS:         now.Sub(member.Heard).Milliseconds(),
			FailureDomain: member.Report.FailureDomain,
			Learned:       member.Report.Learned,
		})
	}
	return pulses
}

// Large reports whether the fleet is too large for each VM to report to all
// others.
func (t *Table) Large() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) > sendAll
}

// Domain returns the failure domain of a member, "" if it is not known.
func (t *Table) Domain(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if member, ok := t.members[address]; ok {
		return member.Report.FailureDomain
	}
	return ""
}

// Alive returns the members that reported lately and don't leave, in the order
// of their addresses.
func (t *Table) Alive(now clock.Boot) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := make([]Member, 0, len(t.members))
	for _, member := range t.members {
		if now.Sub(member.Heard) <= t.aliveFor() && !member.Report.Leaving {
			alive = append(alive, *member)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].Report.Address < alive[j].Report.Address })
	return alive
}

// Count returns the number of VMs that count as alive, with this one. settled is
// false while nobody else was ever heard.
func (t *Table) Count(now clock.Boot) (count int, settled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count = 1
	for _, member := range t.members {
		if now.Sub(member.Heard) <= t.aliveFor() {
			count++
		}
	}
	return count, len(t.members) > 0
}

// Targets returns the addresses to send reports to.
func (t *Table) Targets(now clock.Boot) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make(map[string]bool, len(t.members)+len(t.seeds))
	for address, member := range t.members {
		if now.Sub(member.Heard) > rememberFor {
			delete(t.members, address)
			delete(t.lostAt, address)
			continue
		}
		targets[address] = true
	}
	for address, since := range t.told {
		if now.Sub(since) > rememberFor {
			delete(t.told, address)
			continue
		}
		targets[address] = true
	}
	for _, seed := range t.seeds {
		targets[seed] = true
	}
	delete(targets, t.self)
	sorted := make([]string, 0, len(targets))
	for address := range targets {
		sorted = append(sorted, address)
	}
	sort.Strings(sorted)
	return sorted
}

// Changes logs which VMs were lost or regained since the last call and returns
// those that were lost.
func (t *Table) Changes(now clock.Boot) (lost []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, member := range t.members {
		silent := now.Sub(member.Heard)
		isAlive := silent <= t.aliveFor()
		if isAlive == t.alive[address] {
			continue
		}
		if isAlive {
			t.alive[address] = true
			klog.InfoS("member: a peer is heard", "peer", address, "domain", member.Report.FailureDomain, "incarnation", member.Report.Incarnation, "lost_ms", t.regained(address, now))
			continue
		}
		delete(t.alive, address)
		t.lostAt[address] = now
		lost = append(lost, address)
		klog.InfoS("member: a peer is lost", "peer", address, "silent_ms", silent.Milliseconds(), "leaving", member.Report.Leaving)
	}
	return lost
}

// regained returns for how long a VM was lost, in milliseconds; 0 if it was not.
func (t *Table) regained(address string, now clock.Boot) int64 {
	at, ok := t.lostAt[address]
	if !ok {
		return 0
	}
	delete(t.lostAt, address)
	return now.Sub(at).Milliseconds()
}
