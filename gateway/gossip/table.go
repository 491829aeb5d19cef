package gossip

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// baseAliveTimeout is the time without a sign of life after which a VM counts as
	// lost. In fleets of more than baseTimeoutFleet VMs it grows with their number: the
	// size of a report is bounded, so each VM is heard of less often.
	baseAliveTimeout = 1500 * time.Millisecond
	baseTimeoutFleet = 40
	// forgetAfter is how long a silent VM remains a member and is sent reports.
	forgetAfter = 60 * time.Second
	// maxKnownVMs bounds the members, and the advertised VMs that were not heard from yet.
	maxKnownVMs = 4096
)

// Table holds the state of all other known VMs. It is safe for concurrent use.
type Table struct {
	self  string
	seeds []string

	mu      sync.Mutex
	members map[string]*Member
	// list has the same members, in random order.
	list []*Member
	// unheard has the addresses that others advertised and that have not reported yet,
	// and when they were last advertised.
	unheard map[string]clock.Boot
	// alive has the addresses that were alive at the last UpdateLiveness; lostAt is when
	// the others were found lost.
	alive  map[string]bool
	lostAt map[string]clock.Boot
	// former has the VMs that are no longer members but may still run.
	former formerMembers
}

// NewTable returns the Table of the VM with the address self. seeds are the IP addresses
// of the VMs that it contacts first.
func NewTable(self string, seeds []string) *Table {
	return &Table{
		self:    self,
		seeds:   seeds,
		members: map[string]*Member{},
		unheard: map[string]clock.Boot{},
		alive:   map[string]bool{},
		lostAt:  map[string]clock.Boot{},
		former:  formerMembers{},
	}
}

// Receive applies a report. It reports whether the report is newer than what was known of
// its sender.
func (t *Table) Receive(report Report, now clock.Boot) bool {
	if report.Address == t.self || report.Address == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if report.MembershipOnly {
		t.receiveMembership(report, now)
		return false
	}
	member, ok := t.members[report.Address]
	if !ok {
		if len(t.members) >= maxKnownVMs {
			return false
		}
		member = t.add(report.Address)
	}
	if !t.supersedes(report, member, now) {
		return false
	}
	member.applyReport(report, now)
	delete(t.unheard, report.Address)
	for _, heartbeat := range report.Heartbeats {
		t.receiveHeartbeat(heartbeat, now)
	}
	for _, address := range report.Members {
		if _, known := t.members[address]; !known && address != t.self && len(t.unheard) < maxKnownVMs {
			t.unheard[address] = now
		}
	}
	return true
}

// receiveMembership applies the heartbeats of a membership reply. It ignores replies of
// VMs that this one sends no reports to, as they have nothing to reply to. The caller holds
// the lock.
func (t *Table) receiveMembership(report Report, now clock.Boot) {
	_, isMember := t.members[report.Address]
	_, isUnheard := t.unheard[report.Address]
	if !isMember && !isUnheard && !slices.Contains(t.seeds, report.Address) {
		return
	}
	for _, heartbeat := range report.Heartbeats {
		t.receiveHeartbeat(heartbeat, now)
	}
}

// add adds a member and returns it. The caller holds the lock.
func (t *Table) add(address string) *Member {
	member := &Member{Rank: RankOf(address, 0), index: len(t.list)}
	t.members[address] = member
	delete(t.former, address)
	t.list = append(t.list, member)
	return member
}

// remove removes a member. The caller holds the lock.
func (t *Table) remove(member *Member) {
	last := len(t.list) - 1
	t.swap(member.index, last)
	t.list[last] = nil
	t.list = t.list[:last]
	address := member.Report.Address
	delete(t.members, address)
	delete(t.lostAt, address)
	delete(t.alive, address)
}

// swap swaps two members of t.list. The caller holds the lock.
func (t *Table) swap(a, b int) {
	t.list[a], t.list[b] = t.list[b], t.list[a]
	t.list[a].index, t.list[b].index = a, b
}

// supersedes reports whether a report replaces what is known of its sender. A lower
// incarnation does once the higher one has been silent for the alive timeout: then the
// VM's clock was set back before its process restarted. The caller holds the lock.
func (t *Table) supersedes(report Report, member *Member, now clock.Boot) bool {
	if member.LastReported == 0 {
		return true // A VM's own report overrides relayed heartbeats.
	}
	if report.Incarnation == member.Report.Incarnation {
		return report.Sequence > member.Report.Sequence
	}
	return report.Incarnation > member.Report.Incarnation || now.Sub(member.LastHeard) > t.aliveTimeout()
}

// receiveHeartbeat applies a relayed heartbeat. The caller holds the lock.
func (t *Table) receiveHeartbeat(heartbeat Heartbeat, now clock.Boot) {
	heard := now.Add(-time.Duration(heartbeat.AgeMS) * time.Millisecond)
	if heartbeat.Address == t.self || heartbeat.AgeMS < 0 || now.Sub(heard) > t.aliveTimeout() {
		return
	}
	member, ok := t.members[heartbeat.Address]
	if !ok && len(t.members) >= maxKnownVMs {
		return
	}
	if !ok || heartbeat.Incarnation > member.Report.Incarnation && heard > member.LastHeard {
		if !ok {
			member = t.add(heartbeat.Address)
		}
		member.Report = Report{Address: heartbeat.Address, Incarnation: heartbeat.Incarnation, FailureDomain: heartbeat.FailureDomain, HasPartLocations: heartbeat.HasPartLocations, AgeMS: -1}
		member.LastReported = 0
		member.applyHeartbeat(heartbeat, heard)
		return
	}
	if heartbeat.Incarnation == member.Report.Incarnation && heard > member.LastHeard {
		member.applyHeartbeat(heartbeat, heard)
	}
}

// aliveTimeout returns the time without a sign of life after which a VM counts as lost. The
// caller holds the lock.
func (t *Table) aliveTimeout() time.Duration {
	return baseAliveTimeout * time.Duration(max(baseTimeoutFleet, len(t.members))) / baseTimeoutFleet
}

// forgetSilent removes the VMs that have been silent for longer than forgetAfter. The
// caller holds the lock.
func (t *Table) forgetSilent(now clock.Boot) {
	for i := len(t.list) - 1; i >= 0; i-- {
		if now.Sub(t.list[i].LastHeard) > forgetAfter {
			t.former.add(t.list[i])
			t.remove(t.list[i])
		}
	}
	t.former.forgetSilent(now)
	for address, since := range t.unheard {
		if now.Sub(since) > forgetAfter {
			delete(t.unheard, address)
		}
	}
}

// UpdateLiveness removes VMs that have been silent for long, logs which VMs were lost or
// came back since the last call, and returns the addresses of those that were lost.
func (t *Table) UpdateLiveness(now clock.Boot) (lost []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetSilent(now)
	for _, member := range t.list {
		address := member.Report.Address
		silent := now.Sub(member.LastHeard)
		isAlive := silent <= t.aliveTimeout()
		if isAlive == t.alive[address] {
			continue
		}
		if isAlive {
			t.alive[address] = true
			klog.InfoS("member: peer is alive", "peer", address, "domain", member.Report.FailureDomain, "incarnation", member.Report.Incarnation, "lost_ms", t.clearLoss(address, now))
			continue
		}
		delete(t.alive, address)
		t.lostAt[address] = now
		lost = append(lost, address)
		klog.InfoS("member: peer is lost", "peer", address, "silent_ms", silent.Milliseconds(), "leaving", member.Report.Leaving)
	}
	return lost
}

// clearLoss marks a VM as not lost. It returns how long it was lost, in milliseconds; 0 if
// it was not. The caller holds the lock.
func (t *Table) clearLoss(address string, now clock.Boot) int64 {
	at, ok := t.lostAt[address]
	if !ok {
		return 0
	}
	delete(t.lostAt, address)
	return now.Sub(at).Milliseconds()
}
