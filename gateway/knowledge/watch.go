package knowledge

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	// watchWait is how long a watch waits for a change. The data is confirmed only when a
	// watch returns, so this bounds its age.
	watchWait = 800 * time.Millisecond
	// minWatchWait is how long a watch waits at least. The one after a watch that was cut waits so long.
	minWatchWait = 20 * time.Millisecond
	// callTimeout is the timeout of a watch in addition to watchWait.
	callTimeout = 600 * time.Millisecond
	// batchPause is the pause after a watch that returned changes, so that changes in
	// quick succession need only one call.
	batchPause = 60 * time.Millisecond
	// minWatchLimit is the least time to which cuts shorten the wait of watches. cutShare is the share of the
	// time after which a watch was cut that the next ones wait, watchGrowth by how much longer a watch
	// may wait after one that was answered.
	minWatchLimit = 100 * time.Millisecond
	cutShare      = 0.5
	watchGrowth   = 1.25
	// cutPause is the pause after a watch that was cut, for a store that cuts watches soon.
	cutPause = 50 * time.Millisecond
)

// watch waits for changes after r.position and applies them. A store may cut a watch that waits; that is
// no outage if it answers the next one, which also confirms the data.
func (r *Reader) watch(ctx context.Context) error {
	began := clock.Now()
	err := r.watchFor(ctx, r.watchTime(began), watchWait+callTimeout)
	if err == nil {
		r.watchLimit = min(watchWait, time.Duration(float64(r.watchLimit)*watchGrowth))
		return nil
	}
	waited := clock.Now().Sub(began)
	if !errors.Is(err, platform.ErrCut) || ctx.Err() != nil || r.lostAt != 0 && waited < minWatchWait {
		return err
	}
	r.recordCut(waited)
	clock.Sleep(ctx, cutPause)
	return r.watchFor(ctx, minWatchWait, minWatchWait+callTimeout)
}

// watchFor makes a watch that waits for a change and applies what it returns.
func (r *Reader) watchFor(ctx context.Context, wait, timeout time.Duration) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt := clock.Now()
	changes, err := r.store.Watch(call, "", r.position.Revision, wait)
	if err != nil {
		return err
	}
	if changes.Era != r.position.Era {
		return errEraChanged
	}
	r.markRestored()
	now := clock.Now()
	r.tracker.Apply(Update{Items: changes.Items, Era: changes.Era, Revision: changes.Revision, ConfirmedAt: requestedAt, Available: r.available(now)}, now)
	r.position.Revision = max(r.position.Revision, changes.Revision)
	if len(changes.Items) > 0 {
		clock.Sleep(ctx, batchPause)
	}
	return nil
}

// recordCut shortens the next watches, so that the store answers them before it would cut them. A cut
// without a wait is that of an idle connection.
func (r *Reader) recordCut(waited time.Duration) {
	if waited < minWatchWait {
		return
	}
	r.cuts.Add(1)
	r.watchLimit = max(minWatchLimit, min(r.watchLimit, time.Duration(float64(waited)*cutShare)))
	klog.InfoS("config: the store has cut a watch", "waited_ms", waited.Milliseconds(), "next_wait_ms", r.watchLimit.Milliseconds())
}

// Cuts returns the number of watches that the store has cut while they waited. It is safe for concurrent
// use.
func (r *Reader) Cuts() int64 {
	return r.cuts.Load()
}

// watchTime returns how long a watch waits for a change: not beyond the time at which the next read
// is due.
func (r *Reader) watchTime(now clock.Boot) time.Duration {
	due, ok := r.tracker.NextRead()
	if !ok {
		return r.watchLimit
	}
	return min(r.watchLimit, max(minWatchWait, due.Sub(now)))
}
