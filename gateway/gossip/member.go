package gossip

import (
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/rank"
)

// tieBreakerKey is hashed with a VM's address into its Rank's TieBreaker. All VMs of
// a fleet must use the same key.
const tieBreakerKey = "reader"

// Rank orders the VMs that could read the store for others: by capacity, then by a hash
// of their addresses. The zero value comes last.
type Rank struct {
	// Capacity is the VM's share of a CPU core, in thousandths of a core.
	Capacity   int
	TieBreaker uint64
}

// RankOf returns the Rank of the VM with the given address and capacity.
func RankOf(address string, capacity int) Rank {
	return Rank{capacity, rank.Key(tieBreakerKey, address)}
}

// Before reports whether r precedes other.
func (r Rank) Before(other Rank) bool {
	if r.Capacity != other.Capacity {
		return r.Capacity > other.Capacity
	}
	return r.TieBreaker > other.TieBreaker
}

// Member is what is known of another VM.
type Member struct {
	Report Report
	// LastHeard is when the VM was last heard of, directly or relayed by others.
	LastHeard clock.Boot
	// LastReported is when Report was received from the VM itself, 0 if it was built
	// from a relayed heartbeat.
	LastReported clock.Boot
	// Rank and CanLead follow the newest report or relayed heartbeat.
	Rank Rank
	// CanLead reports whether the VM has knowledge of the store and reaches it.
	CanLead bool

	// index is the member's index in Table.list.
	index int
}

// applyReport sets the state that the VM itself reported.
func (m *Member) applyReport(report Report, now clock.Boot) {
	m.Report, m.LastHeard, m.LastReported = report, now, now
	m.Rank.Capacity = report.Capacity
	m.CanLead = report.AgeMS >= 0 && !report.StoreLost
}

// applyHeartbeat sets the state that another VM relayed.
func (m *Member) applyHeartbeat(heartbeat Heartbeat, heard clock.Boot) {
	m.LastHeard = heard
	m.Rank.Capacity = heartbeat.Capacity
	m.CanLead = heartbeat.CanLead
}

// heartbeat returns the heartbeat that relays this member to other VMs.
func (m *Member) heartbeat(now clock.Boot) Heartbeat {
	return Heartbeat{
		Address:          m.Report.Address,
		Incarnation:      m.Report.Incarnation,
		AgeMS:            now.Sub(m.LastHeard).Milliseconds(),
		FailureDomain:    m.Report.FailureDomain,
		Capacity:         m.Rank.Capacity,
		HasPartLocations: m.Report.HasPartLocations,
		CanLead:          m.CanLead,
	}
}
