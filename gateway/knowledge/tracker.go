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
	// HoldAfterReturn is how long endpoints whose entries lapsed while the store
	// was away are kept after its return.
	HoldAfterRecovery = 1900 * time.Millisecond
	// tombstoneKeep is how long deletions are remembered. No source of knowledge
	// that is still in use lags as far behind.
	tombstoneTTL = 60 * time.Second
	// tombstoneLimit bounds the remembered revisions of deleted entries.
	maxTombstones = 4096
)

// tombstone is a deletion that was applied.
type tombstone struct {
	revision  int64
	appliedAt clock.Boot
}

// Tracker holds the newest knowledge. It is safe for concurrent use; reading a
// snapshot takes no lock.
type Tracker struct {
	snapshot  atomic.Pointer[Snapshot]
	confirmed atomic.Int64

	mu                sync.Mutex
	configuration     *traffic.Configuration
	configurationItem platform.Item
	// packed is the compressed value of raw, nil until it is asked for.
	compressedConfiguration []byte
	endpoints               map[string]*traffic.Endpoint
	entries                 map[string]platform.Item
	// tombstones are the deletions that were applied lately.
	tombstones map[string]tombstone
	revision   int64
	held       map[string]int64
	storeLost  bool
	holdUntil  clock.Boot
	// news is closed and replaced with each update.
	updated chan struct{}
	// newest is the revision of the newest change that was applied.
	newest   atomic.Int64
	onChange func(*Snapshot)
}

// NewTracker returns a Tracker that knows nothing. changed, which may be nil, is
// called with each new snapshot, one call at a time; it must not block.
func NewTracker(changed func(*Snapshot)) *Tracker {
	if changed == nil {
		changed = func(*Snapshot) {}
	}
	t := &Tracker{
		endpoints:  map[string]*traffic.Endpoint{},
		entries:    map[string]platform.Item{},
		tombstones: map[string]tombstone{},
		held:       map[string]int64{},
		updated:    make(chan struct{}),
		onChange:   changed,
	}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Snapshot returns the newest snapshot.
func (t *Tracker) Snapshot() *Snapshot {
	return t.snapshot.Load()
}

// Confirmed returns when the knowledge was last known to be current; ok is
// false if it never was.
func (t *Tracker) ConfirmedAt() (at clock.Boot, ok bool) {
	at = clock.Boot(t.confirmed.Load())
	return at, at != 0
}

// Age returns how old the knowledge may be at now. Without any it is the
// longest time.
func (t *Tracker) Age(now clock.Boot) time.Duration {
	at, ok := t.ConfirmedAt()
	if !ok {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(at)
}

// Update is a set of items that brings the knowledge up to a revision.
type Update struct {
	Items []platform.Item
	// Whole tells that Items are all that exists, not just changes.
	Full bool
	// Revision is the store's revision that the items reach.
	Revision int64
	// Confirmed is a time at which everything up to then is in the items.
	ConfirmedAt clock.Boot
	// Decided tells that another VM has already decided about lapsed entries.
	DeletionsFinal bool
}

// Apply takes in an update. Items that are older than what is known are left out.
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

// Newest returns the revision of the newest change that was applied.
func (t *Tracker) NewestRevision() int64 {
	return t.newest.Load()
}

// note records that a change was applied.
func (t *Tracker) recordRevision(item platform.Item) {
	t.newest.Store(max(t.newest.Load(), item.Revision))
}

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

func (t *Tracker) applyConfiguration(item platform.Item) bool {
	if item.Deleted || item.Revision <= t.configurationItem.Revision {
		return false
	}
	configuration, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		klog.ErrorS(err, "config: an item can't be used", "revision", item.Revision)
		return false
	}
	if t.configuration != nil && configuration.Version <= t.configuration.Version {
		return false
	}
	t.configuration = configuration
	t.configurationItem, t.compressedConfiguration = item, nil
	t.recordRevision(item)
	klog.InfoS("config: a version is in force", "version", configuration.Version, "revision", item.Revision, "routes", len(configuration.Routes))
	return true
}

// known returns the newest revision that was seen of a key.
func (t *Tracker) knownRevision(key string) int64 {
	return max(t.entries[key].Revision, t.tombstones[key].revision)
}

func (t *Tracker) applyEndpoint(item platform.Item, decided bool, now clock.Boot) bool {
	if item.Revision <= t.knownRevision(item.Key) {
		return false
	}
	if item.Deleted {
		return t.applyDeletion(item, decided, now)
	}
	delete(t.held, item.Key)
	delete(t.tombstones, item.Key)
	t.entries[item.Key] = item
	t.recordRevision(item)
	endpoint, err := platform.DecodeEndpoint(item)
	if err != nil {
		klog.ErrorS(err, "config: an entry names no endpoint", "key", item.Key, "revision", item.Revision)
		_, had := t.endpoints[item.Key]
		delete(t.endpoints, item.Key)
		return had
	}
	t.logEndpoint(t.endpoints[item.Key], endpoint)
	t.endpoints[item.Key] = endpoint
	return true
}

func (t *Tracker) logEndpoint(before, after *traffic.Endpoint) {
	if before == nil || !before.SameInstance(after) || before.Draining != after.Draining {
		klog.InfoS("config: endpoint", "endpoint", after.ID, "address", after.Address, "service", after.Service,
			"draining", after.Draining, "revision", after.Revision)
	}
}

// applyDeletion drops an endpoint, or holds it if the store was away.
func (t *Tracker) applyDeletion(item platform.Item, decided bool, now clock.Boot) bool {
	if _, ok := t.entries[item.Key]; !ok {
		t.addTombstone(item.Key, item.Revision, now)
		return false
	}
	if !decided && (t.storeLost || now < t.holdUntil) {
		t.held[item.Key] = item.Revision
		klog.InfoS("config: a lapsed endpoint is held", "key", item.Key, "revision", item.Revision)
		return false
	}
	t.removeEndpoint(item, now)
	return true
}

func (t *Tracker) removeEndpoint(item platform.Item, now clock.Boot) {
	delete(t.held, item.Key)
	delete(t.entries, item.Key)
	delete(t.endpoints, item.Key)
	t.addTombstone(item.Key, item.Revision, now)
	t.recordRevision(item)
	klog.InfoS("config: an endpoint is gone", "key", item.Key, "revision", item.Revision)
}

// bury remembers a deletion, so that an older entry can't come back, and that
// other VMs are told of it.
func (t *Tracker) addTombstone(key string, revision int64, now clock.Boot) {
	for old, stone := range t.tombstones {
		if now.Sub(stone.appliedAt) > tombstoneTTL || len(t.tombstones) >= maxTombstones {
			delete(t.tombstones, old)
		}
	}
	t.tombstones[key] = tombstone{revision, now}
}

// dropUnlisted drops the endpoints that a whole read does not list.
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
		gone := platform.Item{Key: key, Revision: update.Revision, Deleted: true}
		changed = t.applyDeletion(gone, update.DeletionsFinal, now) || changed
	}
	return changed
}

// StoreAway notes that the store stopped serving.
func (t *Tracker) MarkStoreLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeLost = true
}

// StoreBack notes that the store serves again.
func (t *Tracker) MarkStoreRestored(now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeLost {
		t.storeLost = false
		t.holdUntil = now.Add(HoldAfterRecovery)
	}
}

// Decide drops the held endpoints that did not come back in time. It must be
// called every few hundred milliseconds.
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

// publish stores and announces a new snapshot.
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
