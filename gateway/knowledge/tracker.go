package knowledge

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	// HoldAfterRecovery is how long endpoints whose entries expired during an outage
	// of the store are kept after it: they could not renew their entries meanwhile.
	HoldAfterRecovery = 1900 * time.Millisecond
	// tombstoneTTL is how long tombstones are kept. No source of updates that is still
	// in use lags that far behind.
	tombstoneTTL = 60 * time.Second
	// maxTombstones bounds the tombstones.
	maxTombstones = 4096
)

// tombstone records the deletion of an entry.
type tombstone struct {
	revision  int64
	appliedAt clock.Boot
}

// Tracker holds the newest known state of the store. It is safe for concurrent use;
// Snapshot, ConfirmedAt, Age and NewestRevision take no lock.
type Tracker struct {
	snapshot atomic.Pointer[Snapshot]
	// confirmed is the clock.Boot that ConfirmedAt returns, 0 if the data was never
	// confirmed.
	confirmed atomic.Int64

	mu sync.Mutex
	// configuration is the decoded configurationItem.
	configuration     *traffic.Configuration
	configurationItem platform.Item
	// compressedConfiguration is the compressed value of configurationItem, nil until
	// it is needed.
	compressedConfiguration []byte
	// entries are the items of the endpoints by key, endpoints the valid ones decoded. Invalid
	// entries have no value.
	endpoints map[string]*traffic.Endpoint
	entries   map[string]platform.Item
	// tombstones are the recent deletions by key.
	tombstones map[string]tombstone
	// revision is the store's revision that the data is complete up to.
	revision int64
	// held are the keys of the held endpoints, with the revisions of their deletions.
	held map[string]int64
	// storeLost reports whether the store is unavailable. holdUntil is the end of
	// HoldAfterRecovery after the last outage.
	storeLost bool
	holdUntil clock.Boot
	// updated is closed and replaced with each update.
	updated chan struct{}
	// newest is the highest revision of an applied item or deletion.
	newest   atomic.Int64
	onChange func(*Snapshot)
}

// NewTracker returns an empty Tracker. onChange, which may be nil, is called with each new
// snapshot, one call at a time and with the Tracker's lock held; it must not block nor
// call methods that take the lock.
func NewTracker(onChange func(*Snapshot)) *Tracker {
	if onChange == nil {
		onChange = func(*Snapshot) {}
	}
	t := &Tracker{
		endpoints:  map[string]*traffic.Endpoint{},
		entries:    map[string]platform.Item{},
		tombstones: map[string]tombstone{},
		held:       map[string]int64{},
		updated:    make(chan struct{}),
		onChange:   onChange,
	}
	t.snapshot.Store(&Snapshot{})
	return t
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

// Update is a set of items that brings a Tracker up to a revision.
type Update struct {
	Items []platform.Item
	// Full reports whether Items are all items that exist, not only the changed ones.
	Full bool
	// Revision is the store's revision that Items are complete up to.
	Revision int64
	// ConfirmedAt is a time such that all changes made before it are in Items or were
	// known already. 0 if there is none.
	ConfirmedAt clock.Boot
	// DeletionsFinal reports whether deletions apply at once because another VM has
	// already decided whether and how long to hold the endpoints.
	DeletionsFinal bool
}

// Apply applies an update. It ignores items that are older than the known ones.
func (t *Tracker) Apply(update Update, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.revision
	changed := t.applyItems(update, now)
	if update.Full {
		changed = t.removeUnlisted(update, now) || changed
	}
	t.revision = max(t.revision, update.Revision)
	if update.Revision >= before && int64(update.ConfirmedAt) > t.confirmed.Load() {
		t.confirmed.Store(int64(update.ConfirmedAt))
	}
	if changed || t.snapshot.Load().Revision == 0 {
		t.publish()
	}
	close(t.updated)
	t.updated = make(chan struct{})
}

// NewestRevision returns the highest revision of an applied change.
func (t *Tracker) NewestRevision() int64 {
	return t.newest.Load()
}

// recordRevision raises newest to the revision of an applied item.
func (t *Tracker) recordRevision(item platform.Item) {
	t.newest.Store(max(t.newest.Load(), item.Revision))
}

// applyItems applies the items of an update. It reports whether the configuration or an
// endpoint changed. The caller holds the lock.
func (t *Tracker) applyItems(update Update, now clock.Boot) bool {
	changed := false
	for _, item := range update.Items {
		switch {
		case item.Key == platform.ConfigurationKey:
			changed = t.applyConfiguration(item) || changed
		case strings.HasPrefix(item.Key, platform.EndpointPrefix):
			changed = t.applyEndpoint(item, update.DeletionsFinal, now) || changed
		}
	}
	return changed
}

// applyConfiguration applies a valid configuration whose revision and version are newer than
// the known ones. It reports whether it did. The caller holds the lock.
func (t *Tracker) applyConfiguration(item platform.Item) bool {
	if item.Deleted || item.Revision <= t.configurationItem.Revision {
		return false
	}
	configuration, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		klog.ErrorS(err, "config: ignored an invalid configuration", "revision", item.Revision)
		return false
	}
	if t.configuration != nil && configuration.Version <= t.configuration.Version {
		return false
	}
	t.configuration = configuration
	t.configurationItem, t.compressedConfiguration = item, nil
	t.recordRevision(item)
	klog.InfoS("config: configuration applied", "version", configuration.Version, "revision", item.Revision, "routes", len(configuration.Routes))
	return true
}

// knownRevision returns the newest known revision of a key, also of a deleted one.
func (t *Tracker) knownRevision(key string) int64 {
	return max(t.entries[key].Revision, t.tombstones[key].revision)
}

// applyEndpoint applies an endpoint's entry, or its deletion, if it is newer than the known
// one. An invalid entry removes the endpoint. It reports whether the endpoints changed. The
// caller holds the lock.
func (t *Tracker) applyEndpoint(item platform.Item, deletionsFinal bool, now clock.Boot) bool {
	if item.Revision <= t.knownRevision(item.Key) {
		return false
	}
	if item.Deleted {
		return t.applyDeletion(item, deletionsFinal, now)
	}
	delete(t.held, item.Key)
	delete(t.tombstones, item.Key)
	t.entries[item.Key] = item
	t.recordRevision(item)
	endpoint, err := platform.DecodeEndpoint(item)
	if err != nil {
		klog.ErrorS(err, "config: ignored an invalid endpoint entry", "key", item.Key, "revision", item.Revision)
		t.entries[item.Key] = platform.Item{Key: item.Key, Revision: item.Revision}
		_, existed := t.endpoints[item.Key]
		delete(t.endpoints, item.Key)
		return existed
	}
	t.logEndpoint(t.endpoints[item.Key], endpoint)
	t.endpoints[item.Key] = endpoint
	return true
}

// logEndpoint logs an endpoint that is new, was restarted or moved, or started or stopped
// draining. before is nil for a new one.
func (t *Tracker) logEndpoint(before, after *traffic.Endpoint) {
	if before == nil || !before.SameInstance(after) || before.Draining != after.Draining {
		klog.InfoS("config: endpoint", "endpoint", after.ID, "address", after.Address, "service", after.Service,
			"draining", after.Draining, "revision", after.Revision)
	}
}

// applyDeletion removes an endpoint. During an outage of the store and for
// HoldAfterRecovery after it, it holds the endpoint instead, unless deletionsFinal: its
// entry may only have expired. It reports whether an endpoint was removed.
func (t *Tracker) applyDeletion(item platform.Item, deletionsFinal bool, now clock.Boot) bool {
	if _, ok := t.entries[item.Key]; !ok {
		t.addTombstone(item.Key, item.Revision, now)
		return false
	}
	if !deletionsFinal && (t.storeLost || now < t.holdUntil) {
		t.held[item.Key] = item.Revision
		klog.InfoS("config: expired endpoint is held", "key", item.Key, "revision", item.Revision)
		return false
	}
	t.removeEndpoint(item, now)
	return true
}

// removeEndpoint removes an endpoint and records its tombstone. The caller holds the lock.
func (t *Tracker) removeEndpoint(item platform.Item, now clock.Boot) {
	delete(t.held, item.Key)
	delete(t.entries, item.Key)
	delete(t.endpoints, item.Key)
	t.addTombstone(item.Key, item.Revision, now)
	t.recordRevision(item)
	klog.InfoS("config: endpoint removed", "key", item.Key, "revision", item.Revision)
}

// addTombstone records a deletion, so that an older entry can't restore the key and that
// other VMs receive the deletion.
func (t *Tracker) addTombstone(key string, revision int64, now clock.Boot) {
	for old, entry := range t.tombstones {
		if now.Sub(entry.appliedAt) > tombstoneTTL || len(t.tombstones) >= maxTombstones {
			delete(t.tombstones, old)
		}
	}
	t.tombstones[key] = tombstone{revision, now}
}

// removeUnlisted removes the endpoints that a full update does not list. It reports whether
// any was removed.
func (t *Tracker) removeUnlisted(update Update, now clock.Boot) bool {
	listed := make(map[string]bool, len(update.Items))
	for _, item := range update.Items {
		listed[item.Key] = true
	}
	changed := false
	for key, entry := range t.entries {
		if listed[key] || entry.Revision > update.Revision {
			continue
		}
		deletion := platform.Item{Key: key, Revision: update.Revision, Deleted: true}
		changed = t.applyDeletion(deletion, update.DeletionsFinal, now) || changed
	}
	return changed
}

// MarkStoreLost records that an outage of the store began: from now on endpoints whose
// entries expire are held.
func (t *Tracker) MarkStoreLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeLost = true
}

// MarkStoreRestored records that the outage is over. Held endpoints are kept for
// HoldAfterRecovery.
func (t *Tracker) MarkStoreRestored(now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeLost {
		t.storeLost = false
		t.holdUntil = now.Add(HoldAfterRecovery)
	}
}

// ExpireHeld removes the held endpoints that did not renew their entries by the end of
// HoldAfterRecovery. It must be called every few hundred milliseconds.
func (t *Tracker) ExpireHeld(now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeLost || now < t.holdUntil || len(t.held) == 0 {
		return
	}
	for key, revision := range t.held {
		t.removeEndpoint(platform.Item{Key: key, Revision: revision, Deleted: true}, now)
	}
	t.publish()
}

// publish stores a new snapshot and passes it to onChange. The caller holds the lock.
func (t *Tracker) publish() {
	next := &Snapshot{
		Configuration: t.configuration,
		Endpoints:     make(map[string]*traffic.Endpoint, len(t.endpoints)),
		Ready:         map[string][]*traffic.Endpoint{},
		Revision:      t.revision,
	}
	for _, endpoint := range t.endpoints {
		next.Endpoints[endpoint.ID] = endpoint
		if !endpoint.Draining {
			next.Ready[endpoint.Service] = append(next.Ready[endpoint.Service], endpoint)
		}
	}
	for _, ready := range next.Ready {
		sort.Slice(ready, func(i, j int) bool { return ready[i].ID < ready[j].ID })
	}
	t.snapshot.Store(next)
	t.onChange(next)
}
