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

// MaxPeersProbedAtOnce is the largest number of peers that are all probed in each
// period. The routers of such fleets know each other's loads exactly; those of
// larger fleets estimate the mean.
const MaxPeersProbedAtOnce = 8

// Table holds the view of the fleet and the state of the peers. It is safe for
// concurrent use; reading the view takes no lock.
type Table struct {
	self Identity
	// suspectTimeout is how long a suspicion lasts before the peer is unreachable.
	suspectTimeout time.Duration
	view           atomic.Pointer[View]

	mu    sync.Mutex
	list  *source.VersionedList
	peers map[string]*Status
	// counter is this router's own suspicion counter. It starts at the current
	// time, so that it is higher than that of an earlier process.
	counter int64
	leaving bool
	means   *means
	updates *updateQueue
	probes  probeOrder
}

// NewTable returns a Table without a list of VMs. A peer that stays suspected for
// longer than suspectTimeout is unreachable.
func NewTable(self Identity, suspectTimeout time.Duration) *Table {
	table := &Table{
		self:           self,
		suspectTimeout: suspectTimeout,
		list:           source.NewVersionedList(),
		peers:          map[string]*Status{},
		counter:        time.Now().UnixMilli(),
		means:          newMeans(),
		updates:        newUpdateQueue(),
	}
	table.view.Store(newView(source.VMList{}, time.Time{}, self))
	return table
}

// Self returns this router's identity.
func (t *Table) Self() Identity {
	return t.self
}

// View returns the current view.
func (t *Table) View() *View {
	return t.view.Load()
}

// SetList applies a list of VMs, either complete or as changes, that the platform
// confirmed at the given time. It ignores older versions and changes on top of an
// unknown version. It reports whether the list is newer than the previous one.
func (t *Table) SetList(list source.VMList, confirmed time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Version < t.list.Version() {
		klog.Infof("member: list version %d is older than %d and is ignored.", list.Version, t.list.Version())
		return false
	}
	if list.Version == t.list.Version() {
		t.confirmList(confirmed)
		return false
	}
	if !t.list.Apply(list) {
		klog.Infof("member: list version %d is based on version %d, which is unknown.", list.Version, list.After)
		return false
	}
	whole := t.list.Full()
	t.view.Store(newView(whole, confirmed, t.self))
	klog.Infof("member: list version %d has %d VMs.", whole.Version, len(whole.VMs))
	t.syncPeers()
	return true
}

// ConfirmList records that the platform confirmed a list version at the given time.
// Other versions than the current one are ignored.
func (t *Table) ConfirmList(version int64, confirmed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == t.list.Version() {
		t.confirmList(confirmed)
	}
}

// confirmList records a confirmation of the current list. The caller holds t.mu.
func (t *Table) confirmList(confirmed time.Time) {
	current := t.View()
	if current.List.Version == 0 || !confirmed.After(current.ConfirmedAt) {
		return
	}
	next := *current
	next.ConfirmedAt = confirmed
	t.view.Store(&next)
}

// ListSince returns the changes of the list of VMs after a version.
func (t *Table) ListSince(after int64) source.VMList {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Since(after)
}

// syncPeers drops the status of routers that are no longer listed and adds one for
// each new router.
func (t *Table) syncPeers() {
	view := t.View()
	for address := range t.peers {
		if _, listed := view.Find(address); !listed {
			delete(t.peers, address)
			klog.Infof("member: router %s is gone from the list.", address)
		}
	}
	for _, vm := range view.List.VMs {
		if vm.Role == source.RoleRouter && vm.Address != t.self.Address {
			t.ensureStatus(vm.Address)
		}
	}
	t.probes.reset()
}

// ensureStatus returns the status of a peer and adds it if there is none.
func (t *Table) ensureStatus(address string) *Status {
	status, ok := t.peers[address]
	if !ok {
		status = &Status{}
		status.Heartbeat.From.Address = address
		t.peers[address] = status
	}
	return status
}

// Peers returns the status of all known peers at now, sorted by address.
func (t *Table) Peers(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.peers))
	for _, status := range t.peers {
		copied := *status
		copied.Health = t.health(status, now)
		copied.Suspected = !status.suspectedSince.IsZero()
		statuses = append(statuses, copied)
	}
	slices.SortFunc(statuses, func(a, b Status) int {
		return strings.Compare(a.Heartbeat.From.Address, b.Heartbeat.From.Address)
	})
	return statuses
}

// Health returns this router's assessment of the peer at now. A listed peer counts
// as alive until a suspicion of it expires; an unlisted one is unreachable.
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

// health returns the health of a peer at now. The caller holds t.mu.
func (t *Table) health(status *Status, now time.Time) Health {
	if t.suspicionExpired(status, now) || status.damping.held(now) {
		return HealthUnreachable
	}
	if status.leaving {
		return HealthLeaving
	}
	return HealthAlive
}

// suspicionExpired reports whether the peer has been suspected for longer than the
// suspect timeout.
func (t *Table) suspicionExpired(status *Status, now time.Time) bool {
	return !status.suspectedSince.IsZero() && now.Sub(status.suspectedSince) > t.suspectTimeout
}

// PeerLoad returns the load of a model over all peers. In a fleet of up to
// MaxPeersProbedAtOnce peers it is the exact sum of the latest heartbeats; in a
// larger one it is the estimated mean times the number of routers, minus this
// router's own load.
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
		if now.Sub(status.HeardAt) > t.suspectTimeout {
			continue
		}
		load := status.Heartbeat.Loads[model]
		sum.Tokens += load.Tokens
		sum.Requests += load.Requests
	}
	return sum
}
