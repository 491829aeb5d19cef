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
	// startPeers is the number of peers that a starting router asks in one round.
	startPeers = 3
	// startRounds is the number of rounds without an answer after which a router
	// that has the published state becomes ready without its peers.
	startRounds = 3
	// startRoundPause is the mean pause between two rounds.
	startRoundPause = 200 * time.Millisecond
	// peerSyncTimeout bounds one synchronization with a peer; what arrived before
	// it expired is kept.
	peerSyncTimeout = 2 * time.Second
)

// initialSync fetches everything published from peers, or from the platform if no
// peer has it, until the router is ready. The platform alone may return an older
// state than the one in force at the peers, so the router becomes ready only after
// it has asked its peers once more after that.
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

// hasInitialState reports whether the router has a list of VMs and a complete
// configuration.
func (r *Router) hasInitialState() bool {
	return r.members.View().List.Version > 0 && r.store.Snapshot().Revision > 0
}

// readPlatform reads from the platform when no peer has the published state.
func (r *Router) readPlatform(ctx context.Context) {
	if err := r.readList(ctx, 0); err != nil {
		return
	}
	if r.store.Snapshot().Revision == 0 {
		r.readConfig(ctx, 0)
	}
}

// syncFromPeers synchronizes with a few peers and reports whether one answered. The
// first one that answers transfers most of the data; only then are the others
// asked, for what it lacked.
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

// syncFromPeer synchronizes with one peer and reports whether it answered
// completely.
func (r *Router) syncFromPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerSyncTimeout)
	defer cancel()
	return r.syncAll(ctx, address) == nil
}

// startTargets returns random routers of the list, or the seeds while there is no
// list.
func (r *Router) startTargets() []string {
	if targets := r.pushTargets("", startPeers); len(targets) > 0 {
		return targets
	}
	self := r.members.Self().Address
	return slices.DeleteFunc(slices.Clone(r.settings.Seeds), func(seed string) bool { return seed == self })
}
