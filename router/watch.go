package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	watchWait  = 2 * time.Second
	watchPause = 100 * time.Millisecond
	listPause  = time.Second
	retryPause = time.Second
	newsCheck  = 500 * time.Millisecond
	startPause = time.Second
)

// reading is one of the two things that are read from the platform.
type reading struct {
	// news is when it was last confirmed.
	news *news
	// read reads it; wait is how long the platform may wait for a change.
	read func(ctx context.Context, wait time.Duration) error
	// pause is the pause after a read of a reader.
	pause time.Duration
}

// watchConfig reads configuration changes until ctx ends.
func (r *Router) watchConfig(ctx context.Context) {
	r.follow(ctx, reading{&r.configNews, r.readConfig, watchPause})
}

// watchList reads the list of VMs until ctx ends.
func (r *Router) watchList(ctx context.Context) {
	r.follow(ctx, reading{&r.listNews, r.readList, listPause})
}

// follow reads all the time if this router is a reader, and else when there
// was no news of the platform for too long. It leaves the first read to the
// start.
func (r *Router) follow(ctx context.Context, reading reading) {
	failures := 0
	for ctx.Err() == nil {
		view := r.members.View()
		if view.List.Version == 0 {
			clock.Sleep(ctx, newsCheck)
			continue
		}
		if isReader(view, r.members.Self()) {
			r.readAsReader(ctx, reading)
			continue
		}
		if !reading.news.older(newsLimit, time.Now()) {
			failures = 0
			clock.Sleep(ctx, around(newsCheck))
			continue
		}
		failures = r.readWithoutNews(ctx, reading, len(view.Routers), failures)
	}
}

func (r *Router) readAsReader(ctx context.Context, reading reading) {
	if err := reading.read(ctx, watchWait); err != nil {
		clock.Sleep(ctx, around(retryPause))
		return
	}
	clock.Sleep(ctx, around(reading.pause))
}

// readWithoutNews waits for a random time, which keeps all routers together
// below a fixed rate, and reads if there is still no news. It returns the
// number of failures in a row.
func (r *Router) readWithoutNews(ctx context.Context, reading reading, routers, failures int) int {
	backoff := time.Duration(min(1<<failures, maxBackoff))
	clock.Sleep(ctx, spread(sparePause(routers)*backoff))
	if ctx.Err() != nil || !reading.news.older(newsLimit, time.Now()) {
		return 0
	}
	if err := reading.read(ctx, 0); err != nil {
		return min(failures+1, maxBackoff)
	}
	return 0
}

// readConfig reads configuration changes once and passes them on.
func (r *Router) readConfig(ctx context.Context, wait time.Duration) error {
	after := r.store.Snapshot().Revision
	changes, err := r.config.Changes(ctx, after, wait)
	if err != nil {
		klog.Warningf("config: the platform can't be read: %v.", err)
		return err
	}
	if changes.Revision < after {
		klog.Warningf("config: the platform shows revision %d, older than %d.", changes.Revision, after)
		return code.New(code.VersionConflict, "the platform is stale")
	}
	fresh := r.store.Apply(changes.Values, changes.Revision)
	r.configNews.confirm(time.Now())
	r.spreadNews(ctx, found{units: fresh, after: after, revision: changes.Revision})
	return nil
}

// readList reads the list of VMs once and passes changes on.
func (r *Router) readList(ctx context.Context, _ time.Duration) error {
	readAt := time.Now()
	after := r.members.View().List.Version
	list, err := r.lister.List(ctx, after)
	if err != nil {
		klog.Warningf("member: the list of VMs can't be read: %v.", err)
		return err
	}
	if list.Version < after {
		klog.Warningf("member: the platform shows list version %d, older than %d.", list.Version, after)
		return code.New(code.VersionConflict, "the platform is stale")
	}
	fresh := r.members.SetList(list, readAt)
	r.listNews.confirm(readAt)
	r.sleeper.Refreshed(readAt)
	if fresh {
		r.spreadNews(ctx, found{listAfter: after, list: true})
	}
	return nil
}
