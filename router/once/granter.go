package once

import (
	"slices"
	"sync"
	"time"
)

// Granter remembers to which process this router yielded each key. It is safe
// for concurrent use.
type Granter struct {
	self   string
	window KeyWindow
	clock  *Clock
	views  *MembershipHistory

	mu     sync.Mutex
	yields *expiring[*yield]
}

// NewGranter returns a Granter of at most limit keys for the router with the
// peer address self.
func NewGranter(self string, window KeyWindow, clock *Clock, views *MembershipHistory, limit int) *Granter {
	return &Granter{self: self, window: window, clock: clock, views: views, yields: newExpiring[*yield](limit)}
}

// Ask yields the key to the asker or tells why not. Work must be sent only by
// a process to which a quorum of the key's group has yielded.
func (g *Granter) Decide(request ClearanceRequest) ClearanceAnswer {
	now, err := g.clock.Now()
	if err != nil {
		return refuse(err.Error())
	}
	if err := g.window.Check(request.Key.IssuedAt(), now); err != nil {
		return refuse(err.Error())
	}
	if holder := g.Holder(request.Key); holder != nil && !holder.sameProcess(request.Holder) {
		return ClearanceAnswer{Holder: holder, Reason: "yielded to another process"}
	}
	if reason := g.unfit(request); reason != "" {
		return refuse(reason)
	}
	return g.yieldTo(request, now)
}

func refuse(reason string) ClearanceAnswer {
	return ClearanceAnswer{Reason: reason}
}

// unfit tells why this router can't vouch for the key, or nothing.
func (g *Granter) unfit(request ClearanceRequest) string {
	name := request.Key.Name()
	joined, member := g.views.MemberSince(name, g.self)
	if !member || !slices.Contains(request.Group, g.self) {
		return "not in the key's group"
	}
	if !g.window.Covers(request.Key.IssuedAt(), g.clock.StartedAt(), joined) {
		return "too young for the key"
	}
	if !QuorumsOverlap(request.Group, g.views.Group(name)) {
		return "the lists differ too much"
	}
	return ""
}

func (g *Granter) yieldTo(request ClearanceRequest, now time.Time) ClearanceAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.yields.forget(now)
	name := request.Key.Name()
	known, ok := g.yields.get(name)
	if !ok {
		known = &yield{holder: request.Holder}
		if err := g.yields.add(name, known, g.window.ForgetAfter(request.Key.IssuedAt())); err != nil {
			return refuse(err.Error())
		}
		return ClearanceAnswer{Granted: true}
	}
	return known.take(request.Holder)
}

// Release takes back what was yielded to an attempt. A later attempt of the
// same process keeps the key.
func (g *Granter) Release(request ReleaseRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.yields.get(request.Key.Name()); ok {
		known.release(request.Holder)
	}
}

// Holder returns the process that the key is yielded to, or nil.
func (g *Granter) Holder(key CallerKey) *Holder {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.yields.get(key.Name())
	if !ok || known.released {
		return nil
	}
	holder := known.holder
	return &holder
}

// Len returns the number of keys that are remembered.
func (g *Granter) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.yields.entries)
}
