package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/member"
)

// maxUnitsBytes bounds the documents of one message.
const maxUnitsMessageBytes = 512 << 10

// maxNames bounds the names of one request for units.
const maxUnitNames = 1000

// learnFrom takes over all that a peer knows of what is published.
func (r *Router) syncAll(ctx context.Context, address string) error {
	if err := r.syncList(ctx, address); err != nil {
		return err
	}
	return r.syncConfig(ctx, address)
}

// learnList takes over the changes of the list of VMs from a peer.
func (r *Router) syncList(ctx context.Context, address string) error {
	began := time.Now()
	after := r.members.View().List.Version
	var answer listAnswer
	if err := r.control.Post(ctx, address, listPath, listRequest{After: after}, &answer); err != nil {
		klog.Infof("member: router %s can't be asked for the list: %v.", address, err)
		return err
	}
	confirmed := confirmationTime(began, answer.AgeMS)
	if r.members.SetList(answer.List, confirmed) {
		r.spreadDiscovery(ctx, discovery{listAfter: after, list: true, origin: address})
	}
	r.confirmList(answer.List.Version, answer.AgeMS, began)
	return nil
}

// confirmList takes in that the platform confirmed a version to a peer.
func (r *Router) confirmList(version, age int64, began time.Time) {
	if age < 0 || version != r.members.View().List.Version {
		return
	}
	confirmed := confirmationTime(began, age)
	r.listConfirmation.confirm(confirmed)
	r.members.ConfirmList(version, confirmed)
}

// confirmedAt returns the time of a confirmation that a peer told the age of;
// zero if it knows of none.
func confirmationTime(began time.Time, age int64) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return began.Add(-time.Duration(age) * time.Millisecond)
}

// learnConfig takes over the configuration that a peer has and this router has
// not: it sends its digest, gets the stamps of what differs, and asks for what
// is newer there.
func (r *Router) syncConfig(ctx context.Context, address string) error {
	began := time.Now()
	digest := r.store.Digest()
	var answer stampsAnswer
	if err := r.control.Post(ctx, address, stampsPath, stampsRequest{Digest: digest}, &answer); err != nil {
		klog.Infof("config: router %s can't be asked: %v.", address, err)
		return err
	}
	if err := r.fetchUnits(ctx, address, r.store.Missing(answer.Stamps)); err != nil {
		return err
	}
	r.store.Advance(0, answer.Revision)
	if answer.AgeMS >= 0 {
		r.configConfirmation.confirm(confirmationTime(began, answer.AgeMS))
	}
	return nil
}

// fetchUnits asks a peer for units in several answers of bounded size.
func (r *Router) fetchUnits(ctx context.Context, address string, missing []string) error {
	for len(missing) > 0 {
		asked := missing[:min(len(missing), maxUnitNames)]
		var answer unitsMessage
		if err := r.control.Post(ctx, address, unitsPath, unitsRequest{Names: asked}, &answer); err != nil {
			klog.Infof("config: router %s can't be asked for documents: %v.", address, err)
			return err
		}
		fresh := r.store.Merge(answer.Units)
		klog.Infof("config: %d changed documents came from router %s.", len(fresh), address)
		if r.synced.Load() {
			r.spreadDiscovery(ctx, discovery{units: fresh, origin: address})
		}
		if len(answer.Units) == 0 || len(answer.Units) > len(asked) {
			return code.New(code.EndpointFault, "router %s has not got the documents that it named", address)
		}
		missing = missing[len(answer.Units):]
	}
	return nil
}

// compare takes in what a peer said of its knowledge in an exchange that this
// router began, and takes over what is missing.
func (r *Router) syncFromHeartbeat(ctx context.Context, beat member.Heartbeat, began time.Time) {
	address := beat.From.Address
	behind := beat.ListVersion > r.members.View().List.Version
	if behind && r.syncList(ctx, address) != nil {
		return
	}
	r.confirmList(beat.ListVersion, beat.ListAgeMS, began)
	if !beat.Stale {
		r.sleepGuard.Refreshed(began)
	}
	r.syncConfigFromHeartbeat(ctx, beat, began)
}

func (r *Router) syncConfigFromHeartbeat(ctx context.Context, beat member.Heartbeat, began time.Time) {
	digest := r.store.Digest()
	root := digest.Root()
	if beat.Root == root {
		r.store.Advance(0, beat.Revision)
		if beat.ConfigAgeMS >= 0 {
			r.configConfirmation.confirm(confirmationTime(began, beat.ConfigAgeMS))
		}
		return
	}
	pair := root + " " + beat.Root
	if r.unresolvedRoots.Load() == pair || !r.syncingConfig.CompareAndSwap(false, true) {
		return
	}
	defer r.syncingConfig.Store(false)
	if err := r.syncConfig(ctx, beat.From.Address); err != nil {
		return
	}
	if digest = r.store.Digest(); digest.Root() == root {
		r.unresolvedRoots.Store(pair)
	}
}
