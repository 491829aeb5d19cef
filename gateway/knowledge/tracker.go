package knowledge

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// Tracker holds the newest known state of the store. It is safe for concurrent use;
// Snapshot, ConfirmedAt, Age and Newest take no lock.
type Tracker struct {
	snapshot atomic.Pointer[Snapshot]
	// confirmed is the clock.Boot that ConfirmedAt returns, 0 if the data was never
	// confirmed.
	confirmed atomic.Int64
	// newest is what Newest returns.
	newest atomic.Pointer[traffic.Position]

	mu sync.Mutex
	// configuration is the configuration in force, entries are the entries of the endpoints, evacuations
	// those of failure domains.
	configuration configuration
	entries       *entries
	evacuations   *evacuations
	// position is the position in the store's history that the data is complete up to.
	position traffic.Position
	// confirmAfter is the time from which on reads of a restored store confirm the data; 0 if the
	// store was never restored. startedInEra reports whether this VM has known no earlier era: other
	// VMs of this one have waited for themselves, so that what they confirmed counts at once.
	confirmAfter clock.Boot
	startedInEra bool
	// updated is closed and replaced with each update.
	updated  chan struct{}
	onChange func(*Snapshot)
	// reserved reports whether an address can't be that of an endpoint; nil means that each can.
	reserved func(address string) bool
}

// NewTracker returns an empty Tracker. onChange, which may be nil, is called with each new
// snapshot before Snapshot returns it, one call at a time and with the Tracker's lock held; it
// must not block nor call methods that take the lock.
func NewTracker(onChange func(*Snapshot)) *Tracker {
	if onChange == nil {
		onChange = func(*Snapshot) {}
	}
	t := &Tracker{
		entries:     newEntries(),
		evacuations: newEvacuations(),
		updated:     make(chan struct{}),
		onChange:    onChange,
	}
	t.snapshot.Store(&Snapshot{})
	t.newest.Store(&traffic.Position{})
	return t
}

// SetEntryLifetime sets how long the entry of an endpoint that has stopped stays in the store. 0
// leaves it as it is.
func (t *Tracker) SetEntryLifetime(lifetime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if lifetime > 0 {
		t.entries.settling.entryLifetime = lifetime
	}
}

// SetReserved sets the function that reports whether an address can't be that of an endpoint. It is
// called with the Tracker's lock held, for each endpoint whenever one changes, and must not block.
func (t *Tracker) SetReserved(reserved func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reserved = reserved
}

// Snapshot returns the newest snapshot.
func (t *Tracker) Snapshot() *Snapshot {
	return t.snapshot.Load()
}

// ConfirmedAt returns the last time at which the data was known to be current. ok is false
// if it never was.
func (t *Tracker) ConfirmedAt() (at clock.Boot, ok bool) {
	at = clock.Boot(t.confirmed.Load())
	return at, at != 0
}

// Age returns the maximum age of the data at now: the time since ConfirmedAt. It is the
// maximum Duration if the data was never confirmed.
func (t *Tracker) Age(now clock.Boot) time.Duration {
	at, ok := t.ConfirmedAt()
	if !ok {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(at)
}

// Apply applies an update. It ignores items that are older than the known ones, and all but the
// configuration of an update that does not go on from the known position.
func (t *Tracker) Apply(update Update, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	goesOn := t.followsOn(&update, now)
	changed := t.applyConfiguration(&update)
	if goesOn {
		changed = t.applyEntries(&update, now) || changed
		changed = t.applyEvacuations(&update, now) || changed
		t.confirm(&update)
	}
	if changed || t.snapshot.Load().Position.IsZero() {
		t.publish()
	}
	t.announce()
}

// followsOn reports whether the entries of an update go on from the known ones. A full update of a
// later era begins that era. The caller holds the lock.
func (t *Tracker) followsOn(update *Update, now clock.Boot) bool {
	if update.Era == t.position.Era {
		return true
	}
	if update.Era < t.position.Era || !update.Full {
		klog.InfoS("config: entries of another era are ignored", "era", update.Era, "known_era", t.position.Era)
		return false
	}
	klog.InfoS("config: an era of the store begins", "era", update.Era, "revision", update.Revision,
		"known_era", t.position.Era, "known_revision", t.position.Revision)
	t.startedInEra = t.position.IsZero()
	if !t.startedInEra || update.Era > firstEra {
		t.confirmAfter = now.Add(rewriteTime)
	}
	t.entries.beginEra(update.Position(), now)
	t.evacuations.beginEra(now)
	t.position = traffic.Position{Era: update.Era}
	return true
}

// firstEra is the era of a store that has not come back from a copy yet. A VM that starts in a later
// one can't tell how long ago the store came back.
const firstEra = 1

// rewriteTime is how long after the beginning of an era the store may lack what the operator had written
// before. Reads that began earlier confirm nothing: the copy may lack a change that this VM has
// missed, too.
const rewriteTime = 1500 * time.Millisecond

// applyEntries applies the entries of an update. It reports whether an endpoint changed. The caller
// holds the lock.
func (t *Tracker) applyEntries(update *Update, now clock.Boot) bool {
	changed := false
	for _, item := range update.Items {
		if strings.HasPrefix(item.Key, platform.EndpointPrefix) {
			changed = t.entries.apply(item, update, now) || changed
		}
	}
	if update.Full {
		changed = t.entries.removeUnlisted(update, now) || changed
	}
	t.entries.hold(update.Held, update.HoldUntil)
	t.entries.settling.extendDoubt(update.DoubtUntil)
	t.entries.settling.available.add(update.Available)
	return changed
}

// applyEvacuations applies the evacuations of an update, unless a later state is known. It reports whether that
// changed anything. The caller holds the lock.
func (t *Tracker) applyEvacuations(update *Update, now clock.Boot) bool {
	if t.position.After(update.Position()) {
		return false
	}
	changed := false
	if update.EvacuationsComplete {
		changed = t.evacuations.replace(update.Items, update.Era, now)
	} else {
		changed = t.evacuations.apply(update.Items, t.position, now)
	}
	// Without this, Newest would not show the change, and other VMs would not ask for it.
	for _, item := range update.Items {
		if _, ok := platform.EvacuatedDomain(item.Key); ok {
			t.entries.recordPosition(item.Position())
		}
	}
	return changed
}

// confirm records the position that an update is complete up to, and the time of its confirmation.
// The caller holds the lock.
func (t *Tracker) confirm(update *Update) {
	t.entries.recordPosition(update.Newest)
	if t.position.After(update.Position()) {
		return
	}
	t.position = update.Position()
	trusted := update.ConfirmedAt >= t.confirmAfter || update.DeletionsFinal && t.startedInEra
	if trusted && int64(update.ConfirmedAt) > t.confirmed.Load() {
		t.confirmed.Store(int64(update.ConfirmedAt))
	}
}

// NextRead returns the time at which a read has to begin to confirm or settle what is known; ok is
// false if no read has to.
func (t *Tracker) NextRead() (at clock.Boot, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	confirmed := clock.Boot(t.confirmed.Load())
	if confirmed < t.confirmAfter {
		return t.confirmAfter, true
	}
	return t.entries.settling.nextRead(confirmed)
}

// applyConfiguration applies the configuration of an update, if it has one. It reports whether that
// changed anything. The caller holds the lock.
func (t *Tracker) applyConfiguration(update *Update) bool {
	changed := false
	for _, item := range update.Items {
		if item.Key == platform.ConfigurationKey && !item.Deleted && t.configuration.accept(item) {
			t.entries.recordPosition(item.Position())
			changed = true
		}
	}
	return changed
}

// announce publishes the newest position and wakes up the waiters for a change. The caller holds the
// lock.
func (t *Tracker) announce() {
	newest := t.entries.newest
	t.newest.Store(&newest)
	close(t.updated)
	t.updated = make(chan struct{})
}

// Position returns the position in the store's history that the data is complete up to.
func (t *Tracker) Position() traffic.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// Newest returns the position of the newest change that was applied.
func (t *Tracker) Newest() traffic.Position {
	return *t.newest.Load()
}

// MarkStoreLost records that an outage of the store began: from now on endpoints whose
// entries expire are held.
func (t *Tracker) MarkStoreLost(now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries.settling.markStoreLost(now)
}

// MarkStoreRestored records that the outage is over for this VM. Held endpoints are kept for
// HoldAfterRecovery from the return of the store, which it returns: other VMs may have reached the store
// before.
func (t *Tracker) MarkStoreRestored(now clock.Boot) (returnedAt clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries.settling.markStoreRestored(now)
}

// StoreAvailable returns the length of the last known span in which the store was available to some VM, 0
// if none is known.
func (t *Tracker) StoreAvailable() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries.settling.available
	return known.Until.Sub(known.Since)
}

// Expire removes the held endpoints that did not renew their entries by the end of
// HoldAfterRecovery, accepts doubted entries that still stand, drops old tombstones, and ends evacuations that a
// restored store lacks. It must be called every few hundred milliseconds.
func (t *Tracker) Expire(now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries.expireTombstones(now)
	expired := t.evacuations.expire(t.position.Era, now)
	if t.entries.settle(clock.Boot(t.confirmed.Load()), now) || expired {
		t.publish()
		t.announce()
	}
}

// publish passes a new snapshot to onChange and stores it. onChange comes first, so that no request is sent to an
// endpoint that has just returned before its limits are known. The caller holds the lock.
func (t *Tracker) publish() {
	next := newSnapshot(t.configuration.decoded, t.entries.endpoints, t.evacuations.copyByDomain(), t.position, t.reserved)
	t.onChange(next)
	t.snapshot.Store(next)
}
