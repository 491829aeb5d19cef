package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/router/once"
	"cardamompoint.example/cardamompoint/router/source"
)

// recordMembersPeriod is the time between two recordings of the listed routers.
const recordMembersPeriod = 200 * time.Millisecond

// clearanceTimeout bounds one request to a router about a key.
func (r *Router) clearanceTimeout() time.Duration {
	return milliseconds(r.settings.Timing.SuspectMS)
}

// initClearance creates the clock, the key window, the membership history and the
// granter that clearances of caller keys need.
func (r *Router) initClearance() {
	s := r.settings
	r.keyWindow = once.KeyWindow{
		Lifetime:   milliseconds(s.Timing.KeyWindowMS),
		MaxSkew:    milliseconds(s.Timing.ClockSkewMS),
		MaxListAge: milliseconds(s.Timing.PollMS),
	}
	r.keyClock = once.NewClock(r.keyWindow.MaxSkew)
	r.membershipHistory = once.NewMembershipHistory(r.keyWindow.Lifetime + r.keyWindow.MaxListAge + 4*r.keyWindow.MaxSkew)
	r.clearanceGranter = once.NewGranter(s.Peers, r.keyWindow, r.keyClock, r.membershipHistory, s.Limits.Records)
}

// recordMembership records the listed routers periodically until ctx ends.
func (r *Router) recordMembership(ctx context.Context) {
	for ctx.Err() == nil {
		r.recordMembers()
		clock.Sleep(ctx, recordMembersPeriod)
	}
}

// recordMembers records the live routers of the current list.
func (r *Router) recordMembers() {
	now, err := r.keyClock.Now()
	if err != nil {
		klog.Warningf("exec: no key can be cleared for now: %v.", err)
		return
	}
	var routers []string
	for _, vm := range r.members.View().List.VMs {
		if vm.Role == source.RoleRouter && vm.State == source.StateLive {
			routers = append(routers, vm.Address)
		}
	}
	r.membershipHistory.Record(now, routers)
}

// serveClearance answers a peer that requests a clearance for a key.
func (r *Router) serveClearance(_ context.Context, request once.ClearanceRequest) (once.ClearanceAnswer, error) {
	r.recordMembers()
	answer := r.clearanceGranter.Decide(request)
	klog.Infof("exec: key %s for router %s attempt %d: granted=%t %s.",
		request.Key.ID, request.Holder.Address, request.Holder.Attempt, answer.Granted, answer.Reason)
	return answer, nil
}

// serveRelease withdraws the key grant to an abandoned attempt.
func (r *Router) serveRelease(_ context.Context, request once.ReleaseRequest) (struct{}, error) {
	r.clearanceGranter.Release(request)
	klog.Infof("exec: key %s is released by router %s attempt %d.", request.Key.ID, request.Holder.Address, request.Holder.Attempt)
	return struct{}{}, nil
}

// obtainClearance asks the key's group to grant the key to this process. On an
// error the attempt is abandoned; the returned holder is the process that a router
// named, or nil.
func (r *Router) obtainClearance(ctx context.Context, key once.CallerKey) (*once.Holder, error) {
	r.recordMembers()
	self := r.members.Self()
	round := &clearanceRound{
		router: r,
		request: once.ClearanceRequest{
			Key:    key,
			Holder: once.Holder{Address: self.Address, Incarnation: self.Incarnation, Attempt: r.clearanceAttempts.Add(1)},
			Group:  r.membershipHistory.Group(key.Name()),
		},
	}
	if round.run(ctx) {
		klog.Infof("exec: key %s is cleared by %d of %d routers.", key.ID, round.granted, len(round.request.Group))
		return nil, nil
	}
	go round.release()
	klog.Infof("exec: key %s is not cleared: %d of %d routers granted it.", key.ID, round.granted, len(round.request.Group))
	return round.holder, code.New(code.ClearanceMissing, "%d of %d routers granted the key, %d are needed",
		round.granted, len(round.request.Group), once.Quorum(len(round.request.Group))).After(unknownRetryAfter)
}
