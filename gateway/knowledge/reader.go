package knowledge

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// Store reads the published items. Errors are as those of platform.Store.
type Store interface {
	Range(ctx context.Context, prefix, after string) (platform.Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error)
	Reset()
}

const (
	// watchWait is how long a watch waits. A waiting watch confirms nothing, so
	// it bounds the age of the knowledge.
	watchWait = 800 * time.Millisecond
	// callTimeout bounds a call beyond its wait.
	callTimeout = 600 * time.Millisecond
	// gatherTime is the pause after a watch that brought changes, so that changes
	// in quick succession take one call.
	batchPause = 60 * time.Millisecond
	// idlePause is how often a Reader that is not on duty looks again.
	idlePause = 50 * time.Millisecond
	// readTimeout bounds a call of a whole read.
	readTimeout = 2 * time.Second
	// retryPause and longestRetryPause bound the pause between failed calls.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// sparePause is the pause of a VM while enough others try.
	standbyPause = 3200 * time.Millisecond
)

// Reader feeds a Tracker from the store.
type Reader struct {
	store   Store
	tracker *Tracker
	// onDuty tells whether this VM reads from the store now.
	shouldRead func() bool
	// othersTry tells whether enough other VMs try to reach a lost store.
	othersProbe func() bool
	// revision is where the next watch begins; 0 asks for a whole read.
	revision int64
	lostAt   clock.Boot
	lost     atomic.Bool
	backoff  time.Duration
}

// NewReader returns a Reader for the tracker. It reads while onDuty, which is
// called often, returns true. While othersTry returns true, it asks a lost store
// seldom: whoever reaches it tells the others.
func NewReader(store Store, tracker *Tracker, onDuty, othersTry func() bool) *Reader {
	return &Reader{store: store, tracker: tracker, shouldRead: onDuty, othersProbe: othersTry}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.shouldRead() && r.lostAt == 0 {
			// Others' decisions about lapsed endpoints are not in the watch, so
			// everything is read anew at the next duty.
			r.revision = 0
			clock.Sleep(ctx, idlePause)
			continue
		}
		err := r.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.markRestored()
			continue
		}
		r.markFailed(err)
		clock.Sleep(ctx, r.backoff)
	}
}

// Lost reports whether the store does not serve this VM.
func (r *Reader) StoreLost() bool {
	return r.lost.Load()
}

// step makes one whole read or one watch.
func (r *Reader) step(ctx context.Context) error {
	if r.revision == 0 {
		return r.readAll(ctx)
	}
	return r.watch(ctx)
}

func (r *Reader) markRestored() {
	r.backoff = 0
	if r.lostAt == 0 {
		return
	}
	now := clock.Now()
	klog.InfoS("config: the store serves again", "lost_ms", now.Sub(r.lostAt).Milliseconds())
	r.lostAt = 0
	r.lost.Store(false)
	r.tracker.MarkStoreRestored(now)
}

func (r *Reader) markFailed(err error) {
	r.backoff = min(max(minRetryPause, 2*r.backoff), maxRetryPause)
	if code.Is(err, code.SnapshotTooOld) {
		klog.InfoS("config: the store dropped its history, everything is read anew", "revision", r.revision)
		r.revision = 0
		r.backoff = time.Millisecond
		return
	}
	if r.othersProbe() {
		r.backoff = standbyPause
	}
	r.store.Reset()
	if r.lostAt != 0 {
		return
	}
	r.lostAt = clock.Now()
	r.tracker.MarkStoreLost()
	r.lost.Store(true)
	klog.InfoS("config: the store is lost", "reason", err.Error(), "age_ms", r.tracker.Age(r.lostAt).Milliseconds())
}

// readAll reads all items. The pages are not a snapshot, so the next watch
// begins at the first page's revision.
func (r *Reader) readAll(ctx context.Context) error {
	requestedAt := clock.Now()
	items, firstRevision, err := r.readPrefix(ctx, platform.ConfigurationKey)
	if err != nil {
		return err
	}
	endpoints, _, err := r.readPrefix(ctx, platform.EndpointPrefix)
	if err != nil {
		return err
	}
	r.markRestored()
	r.tracker.Apply(Update{Items: append(items, endpoints...), Full: true, Revision: firstRevision, ConfirmedAt: requestedAt}, clock.Now())
	r.revision = firstRevision
	klog.InfoS("config: everything was read", "revision", firstRevision, "items", len(items)+len(endpoints))
	return nil
}

// readPrefix returns all items under prefix and the revision of the first page.
func (r *Reader) readPrefix(ctx context.Context, prefix string) ([]platform.Item, int64, error) {
	var items []platform.Item
	first, after := int64(0), ""
	for {
		page, err := r.readPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, first, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (r *Reader) readPage(ctx context.Context, prefix, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.store.Range(ctx, prefix, after)
}

func (r *Reader) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	asked := clock.Now()
	changes, err := r.store.Watch(call, "", r.revision, watchWait)
	if err != nil {
		return err
	}
	r.markRestored()
	r.tracker.Apply(Update{Items: changes.Items, Revision: changes.Revision, ConfirmedAt: asked}, clock.Now())
	r.revision = max(r.revision, changes.Revision)
	if len(changes.Items) > 0 {
		clock.Sleep(ctx, batchPause)
	}
	return nil
}
