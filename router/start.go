package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// startPeers is the number of peers that a starting router asks at once.
	startPeers = 3
	// startRounds is how often it asks others if none of them answers.
	startRounds = 3
	// startCheck is the pause between two rounds.
	startRoundPause = 200 * time.Millisecond
	// askTimeout bounds one ask; what came before it ended is kept.
	peerSyncTimeout = 2 * time.Second
)

// learn asks peers for all that is published, and the platform if no peer
// knows anything, until the router is ready. What the platform shows alone may
// be older than what the peers have in force: the router is not ready before
// peers were asked after that.
func (r *Router) initialSync(ctx context.Context) {
	platformAt := time.Now().Add(randomDelay(meanFirstReadDelay))
	silentRounds := 0
	for ctx.Err() == nil {
		known := r.hasInitialState()
		answered := r.syncFromPeers(ctx)
		if !answered {
			silentRounds++
		}
		if known && (answered || silentRounds >= startRounds) {
			r.synced.Store(true)
			klog.Infof("config: the router is ready with revision %d, list version %d, peers answered %t.",
				r.store.Snapshot().Revision, r.members.View().List.Version, answered)
			return
		}
		if !r.hasInitialState() && time.Now().After(platformAt) {
			r.readPlatform(ctx)
			platformAt = time.Now().Add(randomDelay(meanFirstReadDelay))
		}
		if !known && r.hasInitialState() {
			continue
		}
		clock.Sleep(ctx, jittered(startRoundPause))
	}
}

func (r *Router) hasInitialState() bool {
	return r.members.View().List.Version > 0 && r.store.Snapshot().Revision > 0
}

// readFirst reads the platform at a start without peers that know anything.
func (r *Router) readPlatform(ctx context.Context) {
	if err := r.readList(ctx, 0); err != nil {
		return
	}
	if r.store.Snapshot().Revision == 0 {
		r.readConfig(ctx, 0)
	}
}

// askPeers asks a few peers for all that they know and reports whether one
// answered. The first that answers sends the bulk; only then are the others
// asked for what it has not got.
func (r *Router) syncFromPeers(ctx context.Context) bool {
	targets := r.startTargets()
	answered := false
	for len(targets) > 0 && !answered {
		answered = r.syncFromPeer(ctx, targets[0])
		targets = targets[1:]
	}
	var asks sync.WaitGroup
	for _, address := range targets {
		asks.Go(func() { r.syncFromPeer(ctx, address) })
	}
	asks.Wait()
	return answered
}

func (r *Router) syncFromPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerSyncTimeout)
	defer cancel()
	return r.syncAll(ctx, address) == nil
}

// startTargets returns random routers of the list, or the seeds while there is
// no list.
func (r *Router) startTargets() []string {
	if targets := r.pushTargets("", startPeers); len(targets) > 0 {
		return targets
	}
	self := r.members.Self().Address
	return slices.DeleteFunc(slices.Clone(r.settings.Seeds), func(seed string) bool { return seed == self })
}
