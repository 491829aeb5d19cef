package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// longPollTimeout is how long the platform may hold a read of a reader until
	// something changes.
	longPollTimeout = 2 * time.Second
	// configReadPause and listReadPause are the mean pauses between the reads of a
	// reader.
	configReadPause = 100 * time.Millisecond
	listReadPause   = time.Second
	// readRetryPause is the mean pause of a reader after a failed read.
	readRetryPause = time.Second
	// confirmationCheckPeriod is the mean time between two checks of the age of the
	// last confirmation.
	confirmationCheckPeriod = 500 * time.Millisecond
	// meanFirstReadDelay is the mean random delay before a starting router reads
	// from the platform.
	meanFirstReadDelay = time.Second
)

// platformFeed is one of the two feeds read from the platform: the configuration or
// the list of VMs.
type platformFeed struct {
	// confirmation is when the platform last confirmed the known state.
	confirmation *confirmation
	// read reads the changes once; wait is how long the platform may hold the read
	// until something changes.
	read func(ctx context.Context, wait time.Duration) error
	// pause is the mean pause between the reads of a reader.
	pause time.Duration
}

// watchConfig follows the configuration until ctx ends.
func (r *Router) watchConfig(ctx context.Context) {
	r.followFeed(ctx, platformFeed{&r.configConfirmation, r.readConfig, configReadPause})
}

// watchList follows the list of VMs until ctx ends.
func (r *Router) watchList(ctx context.Context) {
	r.followFeed(ctx, platformFeed{&r.listConfirmation, r.readList, listReadPause})
}

// followFeed reads the feed continuously if this router is a reader, otherwise only
// when the last confirmation is too old. The first read is left to initialSync.
func (r *Router) followFeed(ctx context.Context, feed platformFeed) {
	failures := 0
	for ctx.Err() == nil {
		view := r.members.View()
		if view.List.Version == 0 {
			clock.Sleep(ctx, confirmationCheckPeriod)
			continue
		}
		if isReader(view, r.members.Self()) {
			r.readAsReader(ctx, feed)
			continue
		}
		if !feed.confirmation.olderThan(maxConfirmationAge, time.Now()) {
			failures = 0
			clock.Sleep(ctx, jittered(confirmationCheckPeriod))
			continue
		}
		failures = r.readUnconfirmed(ctx, feed, len(view.Routers), failures)
	}
}

// readAsReader reads the feed once and then pauses.
func (r *Router) readAsReader(ctx context.Context, feed platformFeed) {
	if err := feed.read(ctx, longPollTimeout); err != nil {
		clock.Sleep(ctx, jittered(readRetryPause))
		return
	}
	clock.Sleep(ctx, jittered(feed.pause))
}

// readUnconfirmed waits for a random time, which bounds the read rate of all
// routers together, and reads if there is still no recent confirmation. It returns
// the number of consecutive failures.
func (r *Router) readUnconfirmed(ctx context.Context, feed platformFeed, routers, failures int) int {
	backoff := time.Duration(min(1<<failures, maxFallbackBackoff))
	clock.Sleep(ctx, randomDelay(fallbackPause(routers)*backoff))
	if ctx.Err() != nil || !feed.confirmation.olderThan(maxConfirmationAge, time.Now()) {
		return 0
	}
	if err := feed.read(ctx, 0); err != nil {
		return min(failures+1, maxFallbackBackoff)
	}
	return 0
}

// readConfig reads configuration changes once and passes them on to peers.
func (r *Router) readConfig(ctx context.Context, wait time.Duration) error {
	after := r.store.Snapshot().Revision
	changes, err := r.config.Changes(ctx, after, wait)
	if err != nil {
		klog.Warningf("config: the platform can't be read: %v.", err)
		return err
	}
	if changes.Revision < after {
		klog.Warningf("config: the platform returned revision %d, older than %d.", changes.Revision, after)
		return code.New(code.VersionConflict, "the platform returned an outdated state")
	}
	fresh := r.store.Apply(changes.Values, changes.Revision)
	r.configConfirmation.confirm(time.Now())
	r.spreadChanges(ctx, changeSet{units: fresh, after: after, revision: changes.Revision})
	return nil
}

// readList reads the list of VMs once and passes changes on to peers.
func (r *Router) readList(ctx context.Context, _ time.Duration) error {
	readAt := time.Now()
	after := r.members.View().List.Version
	list, err := r.lister.List(ctx, after)
	if err != nil {
		klog.Warningf("member: the list of VMs can't be read: %v.", err)
		return err
	}
	if list.Version < after {
		klog.Warningf("member: the platform returned list version %d, older than %d.", list.Version, after)
		return code.New(code.VersionConflict, "the platform returned an outdated state")
	}
	fresh := r.members.SetList(list, readAt)
	r.listConfirmation.confirm(readAt)
	r.sleepGuard.Refreshed(readAt)
	if fresh {
		r.spreadChanges(ctx, changeSet{listAfter: after, list: true})
	}
	return nil
}
