package homes

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/member"
)

// maxTerms bounds the terms that a History keeps.
const maxTerms = 16

// term is the period in which this router uses one set of routers.
type term struct {
	set     *Set
	version int64
	// since is when the term started.
	since time.Time
	// spreadAt is when all listed routers were known to have the list; zero before.
	spreadAt time.Time
}

// History holds the terms of recent lists, newest first. With it, a router that
// becomes an engine's home waits until the home according to an older list has
// stopped. It is safe for concurrent use.
type History struct {
	// staleListWait is how long routers may act on an older list.
	staleListWait time.Duration
	// lease is the duration of a lease.
	lease time.Duration

	mu      sync.Mutex
	version int64
	terms   []term
	// settled reports whether the first wait since the start of the process has
	// ended.
	settled bool
}

// NewHistory returns an empty History.
func NewHistory(staleListWait, lease time.Duration) *History {
	return &History{staleListWait: staleListWait, lease: lease}
}

// Update applies the list of view and returns the set of routers of the newest
// list.
func (h *History) Update(view *member.View, now time.Time) *Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.terms) > 0 && view.List.Version <= h.version {
		return h.terms[0].set
	}
	h.version = view.List.Version
	set := NewSet(view)
	if len(h.terms) > 0 && h.terms[0].set.equal(set) {
		return h.terms[0].set
	}
	h.terms = append([]term{{set: set, version: view.List.Version, since: now}}, h.terms...)
	h.prune(now)
	return set
}

// prune drops the terms that ended before any wait could still depend on them.
func (h *History) prune(now time.Time) {
	for i := 1; i < len(h.terms); i++ {
		if i == maxTerms || now.Sub(h.terms[i-1].since) > h.staleListWait+h.lease {
			h.terms = h.terms[:i]
			return
		}
	}
}

// heldSince returns the start of the oldest term since which holds has been true
// without interruption, and when the list of that term or of a newer one had
// reached all routers. It reports false if holds is not true for the newest term.
func (h *History) heldSince(holds func(*Set) bool) (from, spread time.Time, ok bool) {
	for _, term := range h.terms {
		if !holds(term.set) {
			break
		}
		from, ok = term.since, true
		if !term.spreadAt.IsZero() {
			spread = term.spreadAt
		}
	}
	return from, spread, ok
}

// HomeSince returns the time from which self may act as home of engine; zero if it
// is not the home.
func (h *History) HomeSince(self, engine string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	from, spread, ok := h.heldSince(func(set *Set) bool { return set.HomeOf(engine) == self })
	if !ok {
		return time.Time{}
	}
	waitEnd := from.Add(h.staleListWait)
	if !spread.IsZero() && spread.Before(waitEnd) {
		return spread
	}
	return waitEnd
}

// BackupSince returns the time from which self may act as backup of home; zero if
// it is not the backup. By then, leases granted by an earlier backup have expired.
func (h *History) BackupSince(self, home string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	from, _, ok := h.heldSince(func(set *Set) bool { return set.BackupOf(home) == self })
	if !ok {
		return time.Time{}
	}
	return from.Add(h.staleListWait + h.lease)
}

// RecordSpread records that all listed routers have the newest list, which ends the
// wait of the newest term.
func (h *History) RecordSpread(version int64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.terms) > 0 && h.version == version && h.terms[0].spreadAt.IsZero() {
		h.terms[0].spreadAt = now
	}
}

// PendingSpread returns the list version of the newest term, and whether the wait
// for all listed routers to have it is still running.
func (h *History) PendingSpread(now time.Time) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.terms) == 0 {
		return 0, false
	}
	newest := h.terms[0]
	return newest.version, newest.spreadAt.IsZero() && now.Before(newest.since.Add(h.staleListWait))
}

// Ready reports whether the first wait since the start of the process has ended.
// Later waits have no influence.
func (h *History) Ready(now time.Time) bool {
	_, pending := h.PendingSpread(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = h.settled || (len(h.terms) > 0 && !pending)
	return h.settled
}

// Assignment returns the role of self for engine and the time from which it may act
// in it.
func (h *History) Assignment(set *Set, self, engine string) balance.Assignment {
	role, home := set.RoleOf(self, engine)
	assignment := balance.Assignment{Role: role, Home: home}
	switch role {
	case balance.RoleHome:
		assignment.Since = h.HomeSince(self, engine)
		assignment.SoleRouter = set.BackupOf(home) == ""
	case balance.RoleBackup:
		assignment.Since = h.BackupSince(self, home)
	}
	return assignment
}
