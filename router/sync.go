package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/member"
)

// maxUnitsMessageBytes bounds the documents of one unitsMessage.
const maxUnitsMessageBytes = 512 << 10

// maxUnitNames bounds the names of one unitsRequest.
const maxUnitNames = 1000

// syncAll fetches the list of VMs and the configuration that a peer has and this
// router lacks.
func (r *Router) syncAll(ctx context.Context, address string) error {
	if err := r.syncList(ctx, address); err != nil {
		return err
	}
	return r.syncConfig(ctx, address)
}

// syncList fetches the changes of the list of VMs from a peer.
func (r *Router) syncList(ctx context.Context, address string) error {
	began := time.Now()
	after := r.members.View().List.Version
	var answer listAnswer
	if err := r.control.Post(ctx, address, listPath, listRequest{After: after}, &answer); err != nil {
		klog.Infof("member: the list of VMs can't be read from router %s: %v.", address, err)
		return err
	}
	confirmed := confirmationTime(began, answer.AgeMS)
	if r.members.SetList(answer.List, confirmed) {
		r.spreadChanges(ctx, changeSet{listAfter: after, list: true, origin: address})
	}
	r.confirmList(answer.List.Version, answer.AgeMS, began)
	return nil
}

// confirmList records that the platform confirmed a list version to a peer, age
// milliseconds before began.
func (r *Router) confirmList(version, age int64, began time.Time) {
	if age < 0 || version != r.members.View().List.Version {
		return
	}
	confirmed := confirmationTime(began, age)
	r.listConfirmation.confirm(confirmed)
	r.members.ConfirmList(version, confirmed)
}

// confirmationTime returns the time of a confirmation from the age that a peer
// reported, in milliseconds; the zero time if the peer knows of none.
func confirmationTime(began time.Time, age int64) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return began.Add(-time.Duration(age) * time.Millisecond)
}

// syncConfig fetches the configuration that a peer has and this router lacks: it
// sends its digest, receives the stamps of the units in buckets that differ, and
// requests the units that are newer there.
func (r *Router) syncConfig(ctx context.Context, address string) error {
	began := time.Now()
	digest := r.store.Digest()
	var answer stampsAnswer
	if err := r.control.Post(ctx, address, stampsPath, stampsRequest{Digest: digest}, &answer); err != nil {
		klog.Infof("config: the state of router %s can't be read: %v.", address, err)
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

// fetchUnits requests units from a peer, in several answers of bounded size.
func (r *Router) fetchUnits(ctx context.Context, address string, missing []string) error {
	for len(missing) > 0 {
		asked := missing[:min(len(missing), maxUnitNames)]
		var answer unitsMessage
		if err := r.control.Post(ctx, address, unitsPath, unitsRequest{Names: asked}, &answer); err != nil {
			klog.Infof("config: documents can't be read from router %s: %v.", address, err)
			return err
		}
		fresh := r.store.Merge(answer.Units)
		klog.Infof("config: %d changed units were received from router %s.", len(fresh), address)
		if r.synced.Load() {
			r.spreadChanges(ctx, changeSet{units: fresh, origin: address})
		}
		if len(answer.Units) == 0 || len(answer.Units) > len(asked) {
			return code.New(code.EndpointFault, "router %s did not return the documents that it announced", address)
		}
		missing = missing[len(answer.Units):]
	}
	return nil
}

// syncFromHeartbeat processes what a peer reported about its state in an exchange
// that this router started, and fetches what this router lacks.
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

// syncConfigFromHeartbeat fetches the configuration of a peer whose digest differs,
// unless a fetch is already running or an earlier one between the same two states
// changed nothing.
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
