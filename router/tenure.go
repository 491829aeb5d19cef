package router

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/balance"
	"cardamompoint.example/cardamompoint/member"
)

// maxTerms bounds the sets of routers that a tenure remembers.
const maxTerms = 16

// term is one set of routers and when it came into force here.
type term struct {
	set     *routerSet
	version int64
	from    time.Time
	// spread is when all listed routers were known to have the list; zero until
	// then.
	spread time.Time
}

// tenure remembers the sets of routers of the last lists, newest first, so that
// a router that becomes an engine's home waits until the home of an older list
// has stopped. It is safe for concurrent use.
type tenure struct {
	// wait is how long routers may go on with an older list.
	wait time.Duration
	// lease is the duration of a lease.
	lease time.Duration

	mu      sync.Mutex
	version int64
	terms   []term
	settled bool
}

func newTenure(wait, lease time.Duration) *tenure {
	return &tenure{wait: wait, lease: lease}
}

// update takes in view and returns the newest set of routers.
func (t *tenure) update(view *member.View, now time.Time) *routerSet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.terms) > 0 && view.List.Version <= t.version {
		return t.terms[0].set
	}
	t.version = view.List.Version
	set := newRouterSet(view)
	if len(t.terms) > 0 && t.terms[0].set.equal(set) {
		return t.terms[0].set
	}
	t.terms = append([]term{{set: set, version: view.List.Version, from: now}}, t.terms...)
	t.prune(now)
	return set
}

// prune drops the terms that ended longer ago than any wait.
func (t *tenure) prune(now time.Time) {
	for i := 1; i < len(t.terms); i++ {
		if i == maxTerms || now.Sub(t.terms[i-1].from) > t.wait+t.lease {
			t.terms = t.terms[:i]
			return
		}
	}
}

// begun returns when the oldest remembered term began since which holds has
// been true without a break, and when its list or a newer one was spread. It
// reports false if holds is not true for the newest term.
func (t *tenure) begun(holds func(*routerSet) bool) (from, spread time.Time, ok bool) {
	for _, term := range t.terms {
		if !holds(term.set) {
			break
		}
		from, ok = term.from, true
		if !term.spread.IsZero() {
			spread = term.spread
		}
	}
	return from, spread, ok
}

// homeSince returns since when self may act as home of engine.
func (t *tenure) homeSince(self, engine string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, spread, ok := t.begun(func(set *routerSet) bool { return set.homeOf(engine) == self })
	if !ok {
		return time.Time{}
	}
	waited := from.Add(t.wait)
	if !spread.IsZero() && spread.Before(waited) {
		return spread
	}
	return waited
}

// backupSince returns since when self may act as backup of home: promises of
// an earlier backup have run out by then.
func (t *tenure) backupSince(self, home string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, _, ok := t.begun(func(set *routerSet) bool { return set.backupOf(home) == self })
	if !ok {
		return time.Time{}
	}
	return from.Add(t.wait + t.lease)
}

// noteSpread notes that all listed routers have the newest list. It ends the wait
// of the newest term.
func (t *tenure) noteSpread(version int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.terms) > 0 && t.version == version && t.terms[0].spread.IsZero() {
		t.terms[0].spread = now
	}
}

// unspread returns the version of the newest term if not all listed routers are
// known to have it.
func (t *tenure) unspread(now time.Time) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.terms) == 0 {
		return 0, false
	}
	newest := t.terms[0]
	return newest.version, newest.spread.IsZero() && now.Before(newest.from.Add(t.wait))
}

// ready reports whether the first wait since the process began has ended. Later
// waits don't matter.
func (t *tenure) ready(now time.Time) bool {
	_, waits := t.unspread(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settled = t.settled || (len(t.terms) > 0 && !waits)
	return t.settled
}

// standing returns the role of self for engine.
func (t *tenure) standing(set *routerSet, self, engine string) balance.Standing {
	role, home := set.roleOf(self, engine)
	standing := balance.Standing{Role: role, Home: home}
	switch role {
	case balance.RoleHome:
		standing.Since = t.homeSince(self, engine)
		standing.Alone = set.backupOf(home) == ""
	case balance.RoleBackup:
		standing.Since = t.backupSince(self, home)
	}
	return standing
}
