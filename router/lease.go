package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

const leasePath = "/peer/v1/lease"

const (
	// leaseSuspectTimeouts is the duration of a lease, in suspect timeouts.
	leaseSuspectTimeouts = 2
	// leaseMarginDivisor divides the duration of a lease to get its margin.
	leaseMarginDivisor = 20
	// leaseRenewalDivisor divides the duration of a lease to get the period in which
	// it is renewed.
	leaseRenewalDivisor = 4
)

// leaseRequest asks the sender's backup not to act in the sender's place for the
// duration of a lease.
type leaseRequest struct {
	// From is the home that requests the lease.
	From member.Identity `json:"from"`
	// Release reports instead that the home admits no more work.
	Release bool `json:"release,omitempty"`
}

// leaseAnswer answers a leaseRequest.
type leaseAnswer struct {
	// Granted reports whether the home may use the full caps.
	Granted bool `json:"granted"`
}

// leaseDuration is how long a granted lease lasts.
func leaseDuration(suspect time.Duration) time.Duration {
	return leaseSuspectTimeouts * suspect
}

// leaseMargin is the time by which a home stops using a lease before it expires.
func leaseMargin(suspect time.Duration) time.Duration {
	return leaseDuration(suspect) / leaseMarginDivisor
}

// staleListWait is how long a router may act on an older list of VMs while it can
// still learn of a newer one.
func staleListWait(suspect, heartbeat time.Duration) time.Duration {
	return suspect + 2*heartbeat
}

// renewLeases requests the lease periodically until ctx ends.
func (r *Router) renewLeases(ctx context.Context) {
	period := leaseDuration(milliseconds(r.settings.Timing.SuspectMS)) / leaseRenewalDivisor
	for ctx.Err() == nil {
		if r.synced.Load() && !r.draining.Load() {
			r.renewLease(ctx, period)
		}
		clock.Sleep(ctx, period)
	}
}

// renewLease requests the lease from this router's backup once.
func (r *Router) renewLease(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	self := r.members.Self()
	backup := r.setHistory.Update(r.members.View(), time.Now()).BackupOf(self.Address)
	if backup == "" {
		return
	}
	sent := time.Now()
	held := r.admission.HoldsLease(sent)
	var answer leaseAnswer
	err := r.control.Post(ctx, backup, leasePath, leaseRequest{From: self}, &answer)
	if err == nil && answer.Granted && !r.draining.Load() {
		r.admission.LeaseGranted(backup, sent, time.Now())
	}
	r.logLease(backup, held, err, answer)
}

// logLease logs if this router has obtained or lost its lease. before reports
// whether it held the lease before the request.
func (r *Router) logLease(backup string, before bool, err error, answer leaseAnswer) {
	after := r.admission.HoldsLease(time.Now())
	switch {
	case after && !before:
		klog.Infof("place: backup %s granted the lease, the full caps apply.", backup)
	case before && !after:
		klog.Infof("place: the lease from backup %s has ended, granted %t: %v.", backup, answer.Granted, err)
	}
}

// releaseLease gives the lease up and tells the backup that this router admits no
// more work.
func (r *Router) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(r.settings.Timing.HeartbeatMS))
	defer cancel()
	self := r.members.Self()
	r.admission.DropLease()
	backup := r.setHistory.Update(r.members.View(), time.Now()).BackupOf(self.Address)
	if backup == "" {
		return
	}
	if err := r.control.Post(ctx, backup, leasePath, leaseRequest{From: self, Release: true}, nil); err != nil {
		klog.Infof("place: backup %s can't be notified of the released lease: %v.", backup, err)
		return
	}
	klog.Infof("place: the lease from backup %s is released.", backup)
}

// serveLease answers a home whose backup is this router.
func (r *Router) serveLease(_ context.Context, request leaseRequest) (leaseAnswer, error) {
	now, home := time.Now(), request.From.Address
	set := r.setHistory.Update(r.members.View(), now)
	if set.BackupOf(home) != r.members.Self().Address {
		return leaseAnswer{}, code.New(code.NotHome, "the backup of %s is %s", home, set.BackupOf(home))
	}
	if request.Release {
		r.admission.LeaseReleased(home, now)
		klog.Infof("place: home %s admits no more work.", home)
		return leaseAnswer{}, nil
	}
	manages := func(engine string) bool { return set.HomeOf(engine) == home }
	return leaseAnswer{Granted: r.admission.GrantLease(home, manages, now)}, nil
}

// assignment returns the role of this router for engine at now. A router that has
// just woken from a freeze may not act until a peer or the platform has confirmed
// its list.
func (r *Router) assignment(engine string, now time.Time) balance.Assignment {
	r.recordListSpread(now)
	view := r.members.View()
	self := r.members.Self().Address
	assignment := r.setHistory.Assignment(r.setHistory.Update(view, now), self, engine)
	woken := r.freezeDetector.check(now)
	r.admission.DropLeaseBefore(woken)
	if r.draining.Load() || !r.listConfirmedSince(view, woken, now) {
		assignment.Since = time.Time{}
	}
	health := r.members.Health(assignment.Home, now)
	assignment.HomeUnreachable = assignment.Role == balance.RoleBackup && health == member.HealthUnreachable
	return assignment
}

// listConfirmedSince reports whether the platform, or a peer without a newer list,
// has been heard from since the process woke.
func (r *Router) listConfirmedSince(view *member.View, woken, now time.Time) bool {
	if woken.IsZero() || view.ConfirmedAt.After(woken) {
		return true
	}
	for _, status := range r.members.Peers(now) {
		if status.HeardAt.After(woken) && status.Heartbeat.ListVersion <= view.List.Version {
			return true
		}
	}
	return false
}

// recordListSpread ends the wait after a change of routers once every listed router
// is known to have the list.
func (r *Router) recordListSpread(now time.Time) {
	view := r.members.View()
	if view.List.Version == 0 {
		return
	}
	r.setHistory.Update(view, now)
	version, pending := r.setHistory.PendingSpread(now)
	if !pending {
		return
	}
	have := map[string]bool{r.members.Self().Address: true}
	for _, status := range r.members.Peers(now) {
		have[status.Heartbeat.From.Address] = status.Heartbeat.ListVersion >= version
	}
	for _, vm := range view.List.VMs {
		if vm.Role == source.RoleRouter && !have[vm.Address] {
			return
		}
	}
	r.setHistory.RecordSpread(view.List.Version, now)
}

// homeOf returns the router that admits work to engine: its home, or the home's
// backup if this router can't reach the home or the home is leaving. Without any
// listed router it returns this one.
func (r *Router) homeOf(view *member.View, engine string) string {
	now := time.Now()
	set := r.setHistory.Update(view, now)
	home := set.HomeOf(engine)
	if home == "" {
		return r.members.Self().Address
	}
	if r.members.Health(home, now) == member.HealthAlive {
		return home
	}
	if backup := set.BackupOf(home); backup != "" && r.members.Health(backup, now) == member.HealthAlive {
		return backup
	}
	return home
}
