package once

import (
	"slices"
	"sync"
	"time"
)

// Granter decides on clearance requests and records the process to which this
// router granted each key. It is safe for concurrent use.
type Granter struct {
	self    string
	window  KeyWindow
	clock   *Clock
	members *MembershipHistory

	mu     sync.Mutex
	grants *expiringMap[*keyGrant]
}

// NewGranter returns a Granter for the router with the peer address self. It
// records at most limit keys.
func NewGranter(self string, window KeyWindow, clock *Clock, members *MembershipHistory, limit int) *Granter {
	return &Granter{self: self, window: window, clock: clock, members: members, grants: newExpiringMap[*keyGrant](limit)}
}

// Decide grants the key to the process that asks, or answers why not. A process
// may only send the work after a quorum of the key's group has granted it the
// key.
func (g *Granter) Decide(request ClearanceRequest) ClearanceAnswer {
	now, err := g.clock.Now()
	if err != nil {
		return refuse(err.Error())
	}
	if err := g.window.Check(request.Key.IssuedAt(), now); err != nil {
		return refuse(err.Error())
	}
	if holder := g.Holder(request.Key); holder != nil && !holder.sameProcess(request.Holder) {
		return ClearanceAnswer{Holder: holder, Reason: "granted to another process"}
	}
	if reason := g.refusalReason(request); reason != "" {
		return refuse(reason)
	}
	return g.grantTo(request, now)
}

func refuse(reason string) ClearanceAnswer {
	return ClearanceAnswer{Reason: reason}
}

// refusalReason returns why this router can't decide on the key, or "" if it
// can.
func (g *Granter) refusalReason(request ClearanceRequest) string {
	name := request.Key.Name()
	joined, member := g.members.MemberSince(name, g.self)
	if !member || !slices.Contains(request.Group, g.self) {
		return "not in the key's group"
	}
	if !g.window.Covers(request.Key.IssuedAt(), g.clock.StartedAt(), joined) {
		return "router or group membership is too young for the key"
	}
	if !QuorumsOverlap(request.Group, g.members.Group(name)) {
		return "the lists of VMs differ too much"
	}
	return ""
}

func (g *Granter) grantTo(request ClearanceRequest, now time.Time) ClearanceAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants.removeExpired(now)
	name := request.Key.Name()
	grant, ok := g.grants.get(name)
	if !ok {
		grant = &keyGrant{holder: request.Holder}
		if err := g.grants.add(name, grant, g.window.ForgetAfter(request.Key.IssuedAt())); err != nil {
			return refuse(err.Error())
		}
		return ClearanceAnswer{Granted: true}
	}
	return grant.tryGrant(request.Holder)
}

// Release withdraws the grant to an attempt. A later attempt of the same process
// keeps the key.
func (g *Granter) Release(request ReleaseRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if grant, ok := g.grants.get(request.Key.Name()); ok {
		grant.release(request.Holder)
	}
}

// Holder returns the process that the key is granted to, or nil.
func (g *Granter) Holder(key CallerKey) *Holder {
	g.mu.Lock()
	defer g.mu.Unlock()
	grant, ok := g.grants.get(key.Name())
	if !ok || grant.released {
		return nil
	}
	holder := grant.holder
	return &holder
}

// Len returns the number of recorded keys.
func (g *Granter) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.grants.entries)
}
