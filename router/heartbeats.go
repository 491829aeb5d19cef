package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/member"
)

// beat sends heartbeats until ctx ends.
func (r *Router) beat(ctx context.Context) {
	ticker := time.NewTicker(milliseconds(r.settings.Timing.HeartbeatMS))
	defer ticker.Stop()
	for {
		r.beatAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beatAll sends one heartbeat to each peer and waits for the answers.
func (r *Router) beatAll(ctx context.Context) {
	var beats sync.WaitGroup
	for _, address := range r.peerAddresses() {
		beats.Go(func() { r.beatPeer(ctx, address) })
	}
	beats.Wait()
}

// peerAddresses returns the other routers of the list, or the seeds while
// there is no list.
func (r *Router) peerAddresses() []string {
	view, self := r.members.View(), r.members.Self().Address
	var addresses []string
	for _, vm := range view.Routers {
		if vm.Address != self {
			addresses = append(addresses, vm.Address)
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, seed := range r.settings.Seeds {
		if seed != self {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (r *Router) beatPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(r.settings.Timing.HeartbeatMS))
	defer cancel()
	var answer member.Heartbeat
	if err := r.control.Post(ctx, address, heartbeatPath, r.heartbeat(), &answer); err != nil {
		return
	}
	r.members.Heard(answer, time.Now())
	own := r.heartbeat()
	if answer.Revision > own.Revision || answer.ListVersion > own.ListVersion {
		r.learnFrom(ctx, address)
	}
}

// learnFrom asks a peer for what it knows of the published documents.
func (r *Router) learnFrom(ctx context.Context, address string) {
	request := changesRequest{After: r.store.Snapshot().Revision}
	var known knownState
	if err := r.control.Post(ctx, address, changesPath, request, &known); err != nil {
		klog.Warningf("config: router %s can't be asked: %v.", address, err)
		return
	}
	fresh := r.store.Apply(known.Changes.Values, known.Changes.Revision)
	if known.List.Version > 0 {
		r.members.SetList(known.List, r.members.View().ReadAt)
	}
	r.noteLearned()
	klog.Infof("config: %d documents came from router %s, revision %d.", len(fresh), address, known.Changes.Revision)
}
