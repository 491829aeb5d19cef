package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	// pushFanout is the number of peers to which each router passes changes on. A
	// router that no push reaches gets the changes with its next heartbeat
	// exchange.
	pushFanout = 3
	// maxPushBytes bounds the documents in a push. Peers fetch larger changes.
	maxPushBytes = 32 << 10
	// maxPushVMs bounds the VMs in a push.
	maxPushVMs  = 200
	pushTimeout = 2 * time.Second
)

// discovery is a set of changes that were new to this router.
type discovery struct {
	units           []config.Unit
	after, revision int64
	// list reports whether the VM list changed; listAfter is the version before.
	list      bool
	listAfter int64
	updates   []member.Update
	// origin is the peer from which the changes came, or empty.
	origin string
}

func (f discovery) empty() bool {
	return len(f.units) == 0 && !f.list && len(f.updates) == 0
}

// spreadDiscovery pushes changes that were new to this router to a few peers.
func (r *Router) spreadDiscovery(ctx context.Context, f discovery) {
	if f.empty() {
		return
	}
	message := r.newPush(f)
	for _, address := range r.pushTargets(f.origin, pushFanout) {
		r.tasks.Go(func() { r.push(ctx, address, message) })
	}
}

// push sends a push to one peer. It is not repeated: a peer that misses it catches
// up by heartbeats.
func (r *Router) push(ctx context.Context, address string, message pushMessage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	defer cancel()
	r.control.Post(ctx, address, pushPath, message, nil)
}

// newPush returns the message with the changes of f.
func (r *Router) newPush(f discovery) pushMessage {
	message := pushMessage{
		From:        r.members.Self().Address,
		After:       f.after,
		Revision:    f.revision,
		Updates:     f.updates,
		ListVersion: r.members.View().List.Version,
	}
	total := 0
	for _, unit := range f.units {
		total += unit.Bytes()
	}
	if total <= maxPushBytes {
		message.Units = f.units
	} else {
		message.Fetch = true
	}
	if !f.list {
		return message
	}
	list := r.members.ListSince(f.listAfter)
	if list.After > 0 && len(list.VMs)+len(list.Removed) <= maxPushVMs {
		message.List = &list
	}
	return message
}

// servePush applies a push and passes on what was new.
func (r *Router) servePush(_ context.Context, message pushMessage) (emptyAnswer, error) {
	f := discovery{after: message.After, revision: message.Revision, origin: message.From}
	f.units = r.store.Merge(message.Units)
	if !message.Fetch {
		r.store.Advance(message.After, message.Revision)
	}
	f.listAfter = r.members.View().List.Version
	if message.List != nil {
		f.list = r.members.SetList(*message.List, time.Time{})
	}
	if r.members.ApplyUpdates(message.Updates, time.Now()) {
		f.updates = message.Updates
	}
	r.spreadDiscovery(context.Background(), f)
	if message.Fetch || message.ListVersion > r.members.View().List.Version {
		r.tasks.Go(func() { r.fetch(message) })
	}
	return emptyAnswer{}, nil
}

// fetch requests from the sender what a push announced but did not contain.
func (r *Router) fetch(message pushMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	if message.ListVersion > r.members.View().List.Version {
		r.syncList(ctx, message.From)
	}
	if !message.Fetch || !r.syncingConfig.CompareAndSwap(false, true) {
		return
	}
	defer r.syncingConfig.Store(false)
	r.syncConfig(ctx, message.From)
}

// pushTargets returns up to count random live peers other than origin. The first
// one is in another failure domain, if there is such a peer.
func (r *Router) pushTargets(origin string, count int) []string {
	view, self, now := r.members.View(), r.members.Self(), time.Now()
	var peers []source.VM
	for _, vm := range view.Routers {
		if vm.Address != self.Address && vm.Address != origin && r.members.Health(vm.Address, now) == member.HealthAlive {
			peers = append(peers, vm)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for i, vm := range peers {
		if vm.FailureDomain != self.FailureDomain {
			peers[0], peers[i] = peers[i], peers[0]
			break
		}
	}
	var addresses []string
	for _, vm := range peers[:min(count, len(peers))] {
		addresses = append(addresses, vm.Address)
	}
	return addresses
}

// spreadLeaving tells peers that this router is shutting down, and waits for the
// pushes to end.
func (r *Router) spreadLeaving(ctx context.Context) {
	message := r.newPush(discovery{updates: []member.Update{r.members.Leave()}})
	var pushes sync.WaitGroup
	for _, address := range r.pushTargets("", member.MaxPeersProbedAtOnce) {
		pushes.Go(func() { r.push(ctx, address, message) })
	}
	pushes.Wait()
}
