package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	longPollTimeout         = 2 * time.Second
	configReadPause         = 100 * time.Millisecond
	listReadPause           = time.Second
	readRetryPause          = time.Second
	confirmationCheckPeriod = 500 * time.Millisecond
	meanFirstReadDelay      = time.Second
)

// reading is one of the two things that are read from the platform.
type platformFeed struct {
	// news is when it was last confirmed.
	confirmation *confirmation
	// read reads it; wait is how long the platform may wait for a change.
	read func(ctx context.Context, wait time.Duration) error
	// pause is the pause after a read of a reader.
	pause time.Duration
}

// watchConfig reads configuration changes until ctx ends.
func (r *Router) watchConfig(ctx context.Context) {
	r.followFeed(ctx, platformFeed{&r.configConfirmation, r.readConfig, configReadPause})
}

// watchList reads the list of VMs until ctx ends.
func (r *Router) watchList(ctx context.Context) {
	r.followFeed(ctx, platformFeed{&r.listConfirmation, r.readList, listReadPause})
}

// follow reads all the time if this router is a reader, and else when there
// was no news of the platform for too long. It leaves the first read to the
// start.
func (r *Router) followFeed(ctx context.Context, reading platformFeed) {
	failures := 0
	for ctx.Err() == nil {
		view := r.members.View()
		if view.List.Version == 0 {
			clock.Sleep(ctx, confirmationCheckPeriod)
			continue
		}
		if isReader(view, r.members.Self()) {
			r.readAsReader(ctx, reading)
			continue
		}
		if !reading.confirmation.olderThan(maxConfirmationAge, time.Now()) {
			failures = 0
			clock.Sleep(ctx, jittered(confirmationCheckPeriod))
			continue
		}
		failures = r.readUnconfirmed(ctx, reading, len(view.Routers), failures)
	}
}

func (r *Router) readAsReader(ctx context.Context, reading platformFeed) {
	if err := reading.read(ctx, longPollTimeout); err != nil {
		clock.Sleep(ctx, jittered(readRetryPause))
		return
	}
	clock.Sleep(ctx, jittered(reading.pause))
}

// readWithoutNews waits for a random time, which keeps all routers together
// below a fixed rate, and reads if there is still no news. It returns the
// number of failures in a row.
func (r *Router) readUnconfirmed(ctx context.Context, reading platformFeed, routers, failures int) int {
	backoff := time.Duration(min(1<<failures, maxFallbackBackoff))
	clock.Sleep(ctx, randomDelay(fallbackPause(routers)*backoff))
	if ctx.Err() != nil || !reading.confirmation.olderThan(maxConfirmationAge, time.Now()) {
		return 0
	}
	if err := reading.read(ctx, 0); err != nil {
		return min(failures+1, maxFallbackBackoff)
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
	r.configConfirmation.confirm(time.Now())
	r.spreadDiscovery(ctx, discovery{units: fresh, after: after, revision: changes.Revision})
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
	r.listConfirmation.confirm(readAt)
	r.sleepGuard.Refreshed(readAt)
	if fresh {
		r.spreadDiscovery(ctx, discovery{listAfter: after, list: true})
	}
	return nil
}
