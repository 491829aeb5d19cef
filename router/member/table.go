package member

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/source"
)

// ProbeAll is the largest number of peers that are all probed in each period.
// Such fleets know each other's loads exactly; larger ones estimate the mean.
const MaxPeersProbedAtOnce = 8

// Table keeps the view and the peers' status. It is safe for concurrent use;
// reading the view takes no lock.
type Table struct {
	self    Identity
	suspect time.Duration
	view    atomic.Pointer[View]

	mu      sync.Mutex
	list    *source.List
	peers   map[string]*Status
	counter int64
	leaving bool
	means   *means
	updates *updateQueue
	order   probeOrder
}

// NewTable returns a Table without any list. A peer that is suspected for
// longer than suspect is unreachable.
func NewTable(self Identity, suspect time.Duration) *Table {
	table := &Table{
		self:    self,
		suspect: suspect,
		list:    source.NewList(),
		peers:   map[string]*Status{},
		counter: time.Now().UnixMilli(),
		means:   newMeans(),
		updates: newUpdateQueue(),
	}
	table.view.Store(newView(source.VMs{}, time.Time{}, self))
	return table
}

// Self returns this router's identity.
func (t *Table) Self() Identity {
	return t.self
}

// View returns the newest view.
func (t *Table) View() *View {
	return t.view.Load()
}

// SetList takes in a list, whole or as changes, that the platform confirmed at
// the given time. An older version, and changes that build on a version not
// known, are ignored. It reports whether the list is newer than the one before.
func (t *Table) SetList(list source.VMs, confirmed time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Version < t.list.Version() {
		klog.Infof("member: list version %d is older than %d and is ignored.", list.Version, t.list.Version())
		return false
	}
	if list.Version == t.list.Version() {
		t.confirm(confirmed)
		return false
	}
	if !t.list.Apply(list) {
		klog.Infof("member: list version %d builds on %d, which is not known.", list.Version, list.After)
		return false
	}
	whole := t.list.Whole()
	t.view.Store(newView(whole, confirmed, t.self))
	klog.Infof("member: list version %d has %d VMs.", whole.Version, len(whole.VMs))
	t.keepListed()
	return true
}

// ConfirmList records that the platform confirmed a version at the given time.
func (t *Table) ConfirmList(version int64, confirmed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == t.list.Version() {
		t.confirm(confirmed)
	}
}

func (t *Table) confirm(confirmed time.Time) {
	current := t.View()
	if current.List.Version == 0 || !confirmed.After(current.ConfirmedAt) {
		return
	}
	next := *current
	next.ConfirmedAt = confirmed
	t.view.Store(&next)
}

// ListSince returns what changed in the list of VMs after a version.
func (t *Table) ListSince(after int64) source.VMs {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Since(after)
}

// keepListed drops the status of routers that left the list and adds that of
// new ones.
func (t *Table) keepListed() {
	view := t.View()
	for address := range t.peers {
		if _, listed := view.Find(address); !listed {
			delete(t.peers, address)
			klog.Infof("member: router %s is gone from the list.", address)
		}
	}
	for _, vm := range view.List.VMs {
		if vm.Role == source.RoleRouter && vm.Address != t.self.Address {
			t.status(vm.Address)
		}
	}
	t.order.reset()
}

// status returns the status of a peer, which it adds if need be.
func (t *Table) status(address string) *Status {
	status, ok := t.peers[address]
	if !ok {
		status = &Status{}
		status.Heartbeat.From.Address = address
		t.peers[address] = status
	}
	return status
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
		copied.Suspected = !status.suspected.IsZero()
		statuses = append(statuses, copied)
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return strings.Compare(a.Heartbeat.From.Address, b.Heartbeat.From.Address)
	})
	return statuses
}

// Health returns what this router thinks of the peer at now. A listed peer is
// alive until somebody gets no answer from it; an unknown one is unreachable.
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
	if t.silent(status, now) || status.damping.held(now) {
		return HealthUnreachable
	}
	if status.leaving {
		return HealthLeaving
	}
	return HealthAlive
}

// silent reports whether the peer is suspected for longer than the timeout.
func (t *Table) silent(status *Status, now time.Time) bool {
	return !status.suspected.IsZero() && now.Sub(status.suspected) > t.suspect
}

// Sum returns the load of a model over all peers. In a fleet whose peers are
// all probed it is exact, of the last period; in a larger one it is the
// estimated mean times the number of routers, without the own load.
func (t *Table) PeerLoad(model string, now time.Time) balance.ModelLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	if routers := len(t.View().Routers); routers-1 > MaxPeersProbedAtOnce {
		mean, own := t.means.estimate[model], t.means.own[model]
		return balance.ModelLoad{
			Tokens:   max(0, int(mean.Tokens*float64(routers))-own.Tokens),
			Requests: max(0, int(mean.Requests*float64(routers))-own.Requests),
		}
	}
	var sum balance.ModelLoad
	for _, status := range t.peers {
		if now.Sub(status.HeardAt) > t.suspect {
			continue
		}
		load := status.Heartbeat.Loads[model]
		sum.Tokens += load.Tokens
		sum.Requests += load.Requests
	}
	return sum
}
