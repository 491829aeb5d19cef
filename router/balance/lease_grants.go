package balance

import "time"

// LeaseGrants records the leases that a backup has granted to homes. It is not
// safe for concurrent use.
type LeaseGrants struct {
	duration  time.Duration
	startedAt time.Time
	expiries  map[string]time.Time
	released  map[string]time.Time
}

// NewLeaseGrants returns the LeaseGrants of a process that started at the given
// time. Leases that an earlier process at the same address granted may still be
// valid, so every home counts as leased for one duration after the start.
func NewLeaseGrants(duration time.Duration, started time.Time) *LeaseGrants {
	return &LeaseGrants{
		duration:  duration,
		startedAt: started,
		expiries:  map[string]time.Time{},
		released:  map[string]time.Time{},
	}
}

// Grant grants a lease to home or renews it.
func (g *LeaseGrants) Grant(home string, now time.Time) {
	delete(g.released, home)
	g.expiries[home] = now.Add(g.duration)
}

// Release records that home has announced that it admits no more work.
func (g *LeaseGrants) Release(home string, now time.Time) {
	g.released[home] = now
}

// Released returns when home announced that it admits no more work, and whether
// it did so since its last lease request.
func (g *LeaseGrants) Released(home string) (time.Time, bool) {
	at, ok := g.released[home]
	return at, ok
}

// Expiry returns when the lease of home expires or has expired.
func (g *LeaseGrants) Expiry(home string) time.Time {
	end := g.startedAt.Add(g.duration)
	if until := g.expiries[home]; until.After(end) {
		return until
	}
	return end
}

// Prune removes the expired leases of homes for which keep reports false.
func (g *LeaseGrants) Prune(keep func(home string) bool, now time.Time) {
	for home, until := range g.expiries {
		if !keep(home) && now.After(until) {
			delete(g.expiries, home)
			delete(g.released, home)
		}
	}
}
