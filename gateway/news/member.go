package news

import (
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/rank"
)

// drawKey draws the order of the VMs for duties.
const drawKey = "reader"

// Rank orders the VMs for duties: by capacity, then by draw. The zero value is behind all.
type Rank struct {
	// Capacity is the VM's part of a processor core, in thousandths.
	Capacity   int
	TieBreaker uint64
}

// RankOf returns the rank of a VM.
func RankOf(address string, capacity int) Rank {
	return Rank{capacity, rank.Key(drawKey, address)}
}

// Before reports whether r goes first.
func (r Rank) Before(other Rank) bool {
	if r.Capacity != other.Capacity {
		return r.Capacity > other.Capacity
	}
	return r.TieBreaker > other.TieBreaker
}

// Member is another VM as its last report shows it.
type Member struct {
	Report Report
	// Heard is when the VM was last heard of, directly or through others.
	LastHeard clock.Boot
	// Reported is when Report came from the VM itself, 0 if others told of it.
	LastReported clock.Boot
	// Rank and Serves are by the newest word, of the VM itself or of others.
	Rank Rank
	// Serves tells that the VM has knowledge and that the store serves it.
	CanLead bool

	// place is the member's index in the list of the Table.
	place int
}

// take sets what the VM itself reports.
func (m *Member) take(report Report, now clock.Boot) {
	m.Report, m.LastHeard, m.LastReported = report, now, now
	m.Rank.Capacity = report.Capacity
	m.CanLead = report.AgeMS >= 0 && !report.StoreLost
}

// takeWord sets what others tell of the VM.
func (m *Member) takeWord(pulse Heartbeat, heard clock.Boot) {
	m.LastHeard = heard
	m.Rank.Capacity = pulse.Capacity
	m.CanLead = pulse.CanLead
}

// pulse returns what is told to others of the VM.
func (m *Member) pulse(now clock.Boot) Heartbeat {
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
