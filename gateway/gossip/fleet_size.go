package gossip

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// silentTTL is how long a VM that is silent is assumed to run: it may be cut off.
	silentTTL = 10 * time.Minute
	// leftTTL is the same for a VM that said that it shuts down: it may start again.
	leftTTL = 10 * time.Second
)

// formerMembers holds the VMs that are no longer members but may still run, by address, and when
// each was last heard of. The Table's lock guards it.
type formerMembers map[string]clock.Boot

// add adds a member that is removed from the Table.
func (f formerMembers) add(member *Member) {
	if !member.Report.Leaving && len(f) < maxKnownVMs {
		f[member.Report.Address] = member.LastHeard
	}
}

// forgetSilent removes the VMs that are no longer assumed to run.
func (f formerMembers) forgetSilent(now clock.Boot) {
	for address, heard := range f {
		if now.Sub(heard) > silentTTL {
			delete(f, address)
		}
	}
}

// FleetSize returns the number of VMs that may run, including this one: those that are cut off
// count, as do those that others advertise. settled is false while no other VM is known.
func (t *Table) FleetSize(now clock.Boot) (count int, settled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count = 1 + len(t.former)
	for address := range t.unheard {
		if _, counted := t.former[address]; !counted {
			count++
		}
	}
	for _, member := range t.list {
		if !member.Report.Leaving || now.Sub(member.LastHeard) <= leftTTL {
			count++
		}
	}
	return count, count > 1
}
