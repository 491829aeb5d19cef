package news

import (
	"slices"
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
	// list has the same members, in no order.
	list []*Member
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
	if report.MembershipOnly {
		t.receiveGreeting(report, now)
		return false
	}
	member, ok := t.members[report.Address]
	if !ok {
		if len(t.members) >= memberLimit {
			return false
		}
		member = t.add(report.Address)
	}
	if !t.isNewer(report, member, now) {
		return false
	}
	member.take(report, now)
	delete(t.told, report.Address)
	for _, pulse := range report.Heartbeats {
		t.receivePulse(pulse, now)
	}
	for _, address := range report.Members {
		if _, known := t.members[address]; !known && address != t.self && len(t.told) < memberLimit {
			t.told[address] = now
		}
	}
	return true
}

// receiveGreeting takes in what a VM tells in answer to a first report. Nobody else has
// been sent one.
func (t *Table) receiveGreeting(greeting Report, now clock.Boot) {
	_, isMember := t.members[greeting.Address]
	_, isTold := t.told[greeting.Address]
	if !isMember && !isTold && !slices.Contains(t.seeds, greeting.Address) {
		return
	}
	for _, pulse := range greeting.Heartbeats {
		t.receivePulse(pulse, now)
	}
}

// add returns a new member. The caller holds the lock.
func (t *Table) add(address string) *Member {
	member := &Member{Rank: RankOf(address, 0), place: len(t.list)}
	t.members[address] = member
	t.list = append(t.list, member)
	return member
}

// remove forgets a member. The caller holds the lock.
func (t *Table) remove(member *Member) {
	last := len(t.list) - 1
	t.swap(member.place, last)
	t.list[last] = nil
	t.list = t.list[:last]
	address := member.Report.Address
	delete(t.members, address)
	delete(t.lostAt, address)
	delete(t.alive, address)
}

// swap exchanges the places of two members.
func (t *Table) swap(a, b int) {
	t.list[a], t.list[b] = t.list[b], t.list[a]
	t.list[a].place, t.list[b].place = a, b
}

// isNewer reports whether a report goes before what is known of its sender. A
// lower incarnation does so once the higher one is silent: the VM's clock was set
// back before its process started anew. The caller holds the lock.
func (t *Table) isNewer(report Report, member *Member, now clock.Boot) bool {
	if member.LastReported == 0 {
		return true // The VM's own word goes before that of others.
	}
	if report.Incarnation == member.Report.Incarnation {
		return report.Sequence > member.Report.Sequence
	}
	return report.Incarnation > member.Report.Incarnation || now.Sub(member.LastHeard) > t.aliveFor()
}

// receivePulse takes in when another VM was heard of.
func (t *Table) receivePulse(pulse Heartbeat, now clock.Boot) {
	heard := now.Add(-time.Duration(pulse.AgeMS) * time.Millisecond)
	if pulse.Address == t.self || pulse.AgeMS < 0 || now.Sub(heard) > t.aliveFor() {
		return
	}
	member, ok := t.members[pulse.Address]
	if !ok && len(t.members) >= memberLimit {
		return
	}
	if !ok || pulse.Incarnation > member.Report.Incarnation && heard > member.LastHeard {
		if !ok {
			member = t.add(pulse.Address)
		}
		member.Report = Report{Address: pulse.Address, Incarnation: pulse.Incarnation, FailureDomain: pulse.FailureDomain, HasPartLocations: pulse.HasPartLocations, AgeMS: -1}
		member.LastReported = 0
		member.takeWord(pulse, heard)
		return
	}
	if pulse.Incarnation == member.Report.Incarnation && heard > member.LastHeard {
		member.takeWord(pulse, heard)
	}
}

// aliveFor returns how long a VM counts as alive. The caller holds the lock.
func (t *Table) aliveFor() time.Duration {
	return aliveFor * time.Duration(max(steadyFleet, len(t.members))) / steadyFleet
}

// forget drops VMs that have been silent for long. The caller holds the lock.
func (t *Table) forget(now clock.Boot) {
	for i := len(t.list) - 1; i >= 0; i-- {
		if now.Sub(t.list[i].LastHeard) > rememberFor {
			t.remove(t.list[i])
		}
	}
	for address, since := range t.told {
		if now.Sub(since) > rememberFor {
			delete(t.told, address)
		}
	}
}

// Changes logs which VMs were lost or regained since the last call and returns
// those that were lost.
func (t *Table) UpdateLiveness(now clock.Boot) (lost []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	for _, member := range t.list {
		address := member.Report.Address
		silent := now.Sub(member.LastHeard)
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
