package knowledge

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// Store reads the published items. platform.Store implements it; errors carry the same
// codes.
type Store interface {
	Range(ctx context.Context, prefix, after string) (platform.Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error)
	Reset()
}

const (
	// idlePause is the time between two checks whether an idle Reader should read.
	idlePause = 50 * time.Millisecond
	// readTimeout is the timeout of one page of a full read.
	readTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause bound the exponential backoff after failed calls.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// standbyPause replaces the backoff while enough other VMs probe a lost store.
	standbyPause = 3200 * time.Millisecond
)

// Reader feeds a Tracker from the store. Only StoreLost and Cuts may be called while Run runs.
type Reader struct {
	store   Store
	tracker *Tracker
	// shouldRead reports whether this VM is to read the store now.
	shouldRead func() bool
	// othersProbe reports whether enough other VMs probe a lost store.
	othersProbe func() bool
	// position is the position after which the next watch starts; zero means a full read.
	position traffic.Position
	// lostAt is when the calls to the store began to fail, 0 if they succeed. lost
	// reports whether lostAt is set, for StoreLost.
	lostAt clock.Boot
	lost   atomic.Bool
	// availableSince is the end of the first of the last reads in a row that succeeded, 0 if the last
	// one failed.
	availableSince clock.Boot
	// backoff is the pause after the last failed call.
	backoff time.Duration
	// watchLimit is how long a watch waits at most at present, cuts the number of watches that the store
	// has cut.
	watchLimit time.Duration
	cuts       atomic.Int64
}

// NewReader returns a Reader for the tracker. It reads while shouldRead, which is called
// often, returns true. While othersProbe returns true, it calls a lost store only rarely:
// the VM that reaches the store passes the data on to the others.
func NewReader(store Store, tracker *Tracker, shouldRead, othersProbe func() bool) *Reader {
	return &Reader{store: store, tracker: tracker, shouldRead: shouldRead, othersProbe: othersProbe, watchLimit: watchWait}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.shouldRead() && r.lostAt == 0 {
			// A watch does not show which held endpoints other VMs have removed, so
			// the next turn starts with a full read.
			r.position = traffic.Position{}
			r.availableSince = 0
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

// StoreLost reports whether this VM's last calls to the store failed. It is safe for
// concurrent use.
func (r *Reader) StoreLost() bool {
	return r.lost.Load()
}

// step makes one full read or one watch.
func (r *Reader) step(ctx context.Context) error {
	if r.position.IsZero() {
		return r.readAll(ctx)
	}
	return r.watch(ctx)
}

// markRestored resets the backoff and ends an outage of the store.
func (r *Reader) markRestored() {
	r.backoff = 0
	if r.lostAt == 0 {
		return
	}
	now := clock.Now()
	returnedAt := r.tracker.MarkStoreRestored(now)
	klog.InfoS("config: store is available again", "lost_ms", now.Sub(r.lostAt).Milliseconds(),
		"known_to_others_ms", now.Sub(returnedAt).Milliseconds())
	r.lostAt = 0
	r.lost.Store(false)
}

// markFailed sets the backoff after a failed call. If the store no longer has the history after
// the known position, the next call begins a full read; any other error counts as an outage of the
// store.
func (r *Reader) markFailed(err error) {
	r.backoff = min(max(minRetryPause, 2*r.backoff), maxRetryPause)
	r.availableSince = 0
	if code.Is(err, code.SnapshotTooOld) {
		klog.InfoS("config: history is gone, starting a full read", "revision", r.position.Revision, "era", r.position.Era, "reason", err.Error())
		if !r.position.IsZero() {
			r.backoff = time.Millisecond
		}
		r.position = traffic.Position{}
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
	r.tracker.MarkStoreLost(r.lostAt)
	r.lost.Store(true)
	klog.InfoS("config: store is unavailable", "reason", err.Error(), "age_ms", r.tracker.Age(r.lostAt).Milliseconds())
}

// readAll reads all items. The pages are not read at one revision, so the next watch
// starts after the revision of the first page.
func (r *Reader) readAll(ctx context.Context) error {
	requestedAt := clock.Now()
	items, first, err := r.readPrefix(ctx, platform.OperatorPrefix)
	if err != nil {
		return err
	}
	endpoints, second, err := r.readPrefix(ctx, platform.EndpointPrefix)
	if err != nil {
		return err
	}
	if first.Era != second.Era {
		return errEraChanged
	}
	r.markRestored()
	items = append(items, endpoints...)
	now := clock.Now()
	r.tracker.Apply(Update{Items: items, Full: true, EvacuationsComplete: true, Era: first.Era, Revision: first.Revision, ConfirmedAt: requestedAt, Available: r.available(now)}, now)
	r.position = first
	klog.InfoS("config: full read complete", "revision", first.Revision, "era", first.Era, "items", len(items))
	return nil
}

// available returns the span of the reads that succeeded in a row, up to one that has just ended.
func (r *Reader) available(now clock.Boot) Availability {
	if r.availableSince == 0 {
		r.availableSince = now
	}
	return Availability{Since: r.availableSince, Until: now}
}

// errEraChanged reports that the store came back from a copy, so that the known position means
// nothing any more.
var errEraChanged = code.New(code.SnapshotTooOld, "the store came back from a copy")

// readPrefix returns all items whose keys start with prefix and the position of the first
// page.
func (r *Reader) readPrefix(ctx context.Context, prefix string) (items []platform.Item, first traffic.Position, err error) {
	after := ""
	for {
		page, err := r.readPage(ctx, prefix, after)
		if err != nil {
			return nil, first, err
		}
		if after == "" {
			first = traffic.Position{Era: page.Era, Revision: page.Revision}
		}
		if page.Era != first.Era {
			return nil, first, errEraChanged
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
