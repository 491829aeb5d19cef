package balance

import "time"

// Grants are a backup's promises to homes. They are not safe for concurrent
// use.
type LeaseGrants struct {
	duration time.Duration
	started  time.Time
	until    map[string]time.Time
	released map[string]time.Time
}

// NewGrants returns Grants of a process that started at the given time. The
// promises of an earlier process at the same address may still run, so all
// homes count as promised for one duration.
func NewLeaseGrants(duration time.Duration, started time.Time) *LeaseGrants {
	return &LeaseGrants{
		duration: duration,
		started:  started,
		until:    map[string]time.Time{},
		released: map[string]time.Time{},
	}
}

// Promise makes or extends the promise to home.
func (g *LeaseGrants) Grant(home string, now time.Time) {
	delete(g.released, home)
	g.until[home] = now.Add(g.duration)
}

// Release ends the promise to home, which has said that it admits no more.
func (g *LeaseGrants) Release(home string, now time.Time) {
	g.released[home] = now
}

// Released reports whether home has said that it admits no more, and when.
func (g *LeaseGrants) Released(home string) (time.Time, bool) {
	at, ok := g.released[home]
	return at, ok
}

// End returns when the promise to home ends or has ended.
func (g *LeaseGrants) Expiry(home string) time.Time {
	end := g.started.Add(g.duration)
	if until := g.until[home]; until.After(end) {
		return until
	}
	return end
}

// Keep forgets the homes for which keep reports false.
func (g *LeaseGrants) Prune(keep func(home string) bool, now time.Time) {
	for home, until := range g.until {
		if !keep(home) && now.After(until) {
			delete(g.until, home)
			delete(g.released, home)
		}
	}
}
