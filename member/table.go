package member

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/balance"
	"cardamompoint.example/cardamompoint/platform"
)

// Table keeps the view and the peers' status. It is safe for concurrent use;
// reading the view takes no lock.
type Table struct {
	self    Self
	suspect time.Duration
	view    atomic.Pointer[View]

	mu    sync.Mutex
	peers map[string]*Status
}

// NewTable returns a Table without any list. A peer that is silent for longer
// than suspect is unreachable.
func NewTable(self Self, suspect time.Duration) *Table {
	table := &Table{self: self, suspect: suspect, peers: map[string]*Status{}}
	table.view.Store(newView(platform.VMs{}, time.Time{}, self))
	return table
}

// Self returns this router's identity.
func (t *Table) Self() Self {
	return t.self
}

// View returns the newest view.
func (t *Table) View() *View {
	return t.view.Load()
}

// SetList takes in a list that was read at the given time. An older version
// is ignored. It reports whether the list is newer than the one before.
func (t *Table) SetList(list platform.VMs, readAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.View()
	if list.Version < current.List.Version {
		klog.Infof("member: list version %d is older than %d and is ignored.", list.Version, current.List.Version)
		return false
	}
	fresh := list.Version > current.List.Version
	t.view.Store(newView(list, readAt, t.self))
	if fresh {
		klog.Infof("member: list version %d has %d VMs.", list.Version, len(list.VMs))
		t.dropUnlisted()
	}
	return fresh
}

func (t *Table) dropUnlisted() {
	view := t.View()
	for address := range t.peers {
		if _, listed := view.Find(address); !listed {
			delete(t.peers, address)
			klog.Infof("member: router %s is gone from the list.", address)
		}
	}
}

// Heard takes in a heartbeat that came at now.
func (t *Table) Heard(beat Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.peers[beat.From.Address]
	if !ok || known.Heartbeat.From.Incarnation != beat.From.Incarnation {
		klog.Infof("member: router %s is alive with incarnation %s.", beat.From.Address, beat.From.Incarnation)
	}
	t.peers[beat.From.Address] = &Status{Heartbeat: beat, Heard: now}
}

// Peers returns the status of all known peers at now, in the order of their
// addresses.
func (t *Table) Peers(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.peers))
	for _, status := range t.peers {
		copied := *status
		copied.Health = t.health(status, now)
		statuses = append(statuses, copied)
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return strings.Compare(a.Heartbeat.From.Address, b.Heartbeat.From.Address)
	})
	return statuses
}

// Health returns what this router thinks of the peer at now. A peer that was
// never heard from is unreachable.
func (t *Table) Health(address string, now time.Time) Health {
	if address == t.self.Address {
		return HealthAlive
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.peers[address]
	if !ok {
		return HealthUnreachable
	}
	return t.health(status, now)
}

func (t *Table) health(status *Status, now time.Time) Health {
	if now.Sub(status.Heard) > t.suspect {
		return HealthUnreachable
	}
	if status.Heartbeat.Leaving {
		return HealthLeaving
	}
	return HealthAlive
}

// Sum returns the load of a model over all peers heard from within the suspect
// timeout.
func (t *Table) Sum(model string, now time.Time) balance.ModelLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum balance.ModelLoad
	for _, status := range t.peers {
		if now.Sub(status.Heard) > t.suspect {
			continue
		}
		load := status.Heartbeat.Loads[model]
		sum.Tokens += load.Tokens
		sum.Requests += load.Requests
	}
	return sum
}
