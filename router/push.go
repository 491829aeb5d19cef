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

// changeSet is a set of changes that were new to this router.
type changeSet struct {
	units           []config.Unit
	after, revision int64
	// list reports whether the list of VMs changed; listAfter is the version
	// before.
	list      bool
	listAfter int64
	updates   []member.Update
	// origin is the peer from which the changes came, or empty.
	origin string
}

// empty reports whether there is nothing to push.
func (c changeSet) empty() bool {
	return len(c.units) == 0 && !c.list && len(c.updates) == 0
}

// spreadChanges pushes changes that were new to this router to a few peers.
func (r *Router) spreadChanges(ctx context.Context, changes changeSet) {
	if changes.empty() {
		return
	}
	message := r.newPush(changes)
	for _, address := range r.pushTargets(changes.origin, pushFanout) {
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

// newPush returns the message with the given changes.
func (r *Router) newPush(changes changeSet) pushMessage {
	message := pushMessage{
		From:        r.members.Self().Address,
		After:       changes.after,
		Revision:    changes.revision,
		Updates:     changes.updates,
		ListVersion: r.members.View().List.Version,
	}
	total := 0
	for _, unit := range changes.units {
		total += unit.Bytes()
	}
	if total <= maxPushBytes {
		message.Units = changes.units
	} else {
		message.Fetch = true
	}
	if !changes.list {
		return message
	}
	list := r.members.ListSince(changes.listAfter)
	if list.After > 0 && len(list.VMs)+len(list.Removed) <= maxPushVMs {
		message.List = &list
	}
	return message
}

// servePush applies a push and passes on what was new.
func (r *Router) servePush(_ context.Context, message pushMessage) (emptyAnswer, error) {
	changes := changeSet{after: message.After, revision: message.Revision, origin: message.From}
	changes.units = r.store.Merge(message.Units)
	if !message.Fetch {
		r.store.Advance(message.After, message.Revision)
	}
	changes.listAfter = r.members.View().List.Version
	if message.List != nil {
		changes.list = r.members.SetList(*message.List, time.Time{})
	}
	if r.members.ApplyUpdates(message.Updates, time.Now()) {
		changes.updates = message.Updates
	}
	r.spreadChanges(context.Background(), changes)
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
	message := r.newPush(changeSet{updates: []member.Update{r.members.Leave()}})
	var pushes sync.WaitGroup
	for _, address := range r.pushTargets("", member.MaxPeersProbedAtOnce) {
		pushes.Go(func() { r.push(ctx, address, message) })
	}
	pushes.Wait()
}
