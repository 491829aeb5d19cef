package member

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// SleepGuard notices that the process did not run for a while: its own ticks
// are too far apart, by the monotonic clock or by the wall clock, of which the
// first stands still while a VM is suspended. What the router knew before is
// then stale until it was refreshed. It is safe for concurrent use.
type SleepGuard struct {
	bound time.Duration
	limit time.Duration

	mu    sync.Mutex
	last  time.Time
	stale chan struct{}
	since time.Time
}

// NewSleepGuard returns a SleepGuard that begins with its first tick. Ticks
// further apart than bound mean a sleep. The view counts as fresh again after limit
// even if nobody answers, so that a router that is cut off goes on serving.
func NewSleepGuard(bound, limit time.Duration) *SleepGuard {
	return &SleepGuard{bound: bound, limit: limit}
}

// Tick records that the process runs and reports whether it has slept.
func (g *SleepGuard) Tick(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tick(now)
}

func (g *SleepGuard) tick(now time.Time) bool {
	slept := g.gap(now) > g.bound
	g.last = now
	if !slept {
		return false
	}
	g.since = now
	if g.stale == nil {
		g.stale = make(chan struct{})
	}
	return true
}

func (g *SleepGuard) gap(now time.Time) time.Duration {
	if g.last.IsZero() {
		return 0
	}
	return clock.Gap(g.last, now)
}

// Refreshed records that the view was refreshed by an exchange that began at
// the given time. It counts only if that was after the sleep.
func (g *SleepGuard) Refreshed(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stale == nil || began.Before(g.since) {
		return
	}
	close(g.stale)
	g.stale = nil
}

// Check returns a ViewStale error if the process has slept and its view was
// not refreshed since.
func (g *SleepGuard) Check(now time.Time) error {
	if g.waiting(now) == nil {
		return nil
	}
	return code.New(code.ViewStale, "the router has slept").After(g.limit)
}

// waiting returns a channel that is closed with the refresh, or nil if the
// view is fresh.
func (g *SleepGuard) waiting(now time.Time) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gap(now) > g.bound {
		g.tick(now)
	}
	if g.stale != nil && now.Sub(g.since) > g.limit {
		close(g.stale)
		g.stale = nil
	}
	return g.stale
}

// Await waits until the view is fresh, for the limit at the most, or until
// done is closed. It then returns a ViewStale error.
func (g *SleepGuard) Await(done <-chan struct{}) error {
	waiting := g.waiting(time.Now())
	if waiting == nil {
		return nil
	}
	timer := time.NewTimer(g.limit)
	defer timer.Stop()
	select {
	case <-waiting:
		return nil
	case <-timer.C:
		return nil
	case <-done:
		return code.New(code.ViewStale, "the caller left while the view was refreshed")
	}
}
