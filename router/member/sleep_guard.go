package member

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// SleepGuard detects that the process was suspended: the gap between two of its own
// ticks is too long by the monotonic clock or by the wall clock. Both are needed,
// since the monotonic clock stands still while a VM is suspended. After a
// suspension the router's view is stale until it has been refreshed. SleepGuard is
// safe for concurrent use.
type SleepGuard struct {
	// maxTickGap is the longest gap between ticks that does not count as a
	// suspension.
	maxTickGap time.Duration
	// maxStale is the longest time that a view counts as stale.
	maxStale time.Duration

	mu       sync.Mutex
	lastTick time.Time
	// refreshed is closed when the view has been refreshed; nil while the view is
	// fresh.
	refreshed chan struct{}
	// staleSince is when the last suspension was detected.
	staleSince time.Time
}

// NewSleepGuard returns a SleepGuard whose first tick starts the detection. A gap
// between ticks longer than maxTickGap counts as a suspension. The view counts as
// fresh again after maxStale even without a refresh, so that a router that is cut
// off from all others continues to serve.
func NewSleepGuard(maxTickGap, maxStale time.Duration) *SleepGuard {
	return &SleepGuard{maxTickGap: maxTickGap, maxStale: maxStale}
}

// Tick records that the process runs and reports whether it was suspended since the
// previous tick.
func (g *SleepGuard) Tick(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tick(now)
}

// tick is Tick for callers that hold g.mu.
func (g *SleepGuard) tick(now time.Time) bool {
	slept := g.gap(now) > g.maxTickGap
	g.lastTick = now
	if !slept {
		return false
	}
	g.staleSince = now
	if g.refreshed == nil {
		g.refreshed = make(chan struct{})
	}
	return true
}

// gap returns the time since the last tick, by the clock that shows more; 0 before
// the first tick.
func (g *SleepGuard) gap(now time.Time) time.Duration {
	if g.lastTick.IsZero() {
		return 0
	}
	return clock.Gap(g.lastTick, now)
}

// Refreshed records that the view was refreshed by an exchange that started at
// began. Exchanges that started before the end of the suspension are ignored.
func (g *SleepGuard) Refreshed(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refreshed == nil || began.Before(g.staleSince) {
		return
	}
	close(g.refreshed)
	g.refreshed = nil
}

// Check returns a ViewStale error if the process was suspended and its view has not
// been refreshed since.
func (g *SleepGuard) Check(now time.Time) error {
	if g.pendingRefresh(now) == nil {
		return nil
	}
	return code.New(code.ViewStale, "the router was suspended and its view is not refreshed yet").After(g.maxStale)
}

// pendingRefresh returns a channel that is closed when the view has been refreshed,
// or nil if the view is fresh.
func (g *SleepGuard) pendingRefresh(now time.Time) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gap(now) > g.maxTickGap {
		g.tick(now)
	}
	if g.refreshed != nil && now.Sub(g.staleSince) > g.maxStale {
		close(g.refreshed)
		g.refreshed = nil
	}
	return g.refreshed
}

// Await waits until the view is fresh, for at most maxStale. If done is closed
// before, it returns a ViewStale error.
func (g *SleepGuard) Await(done <-chan struct{}) error {
	waiting := g.pendingRefresh(time.Now())
	if waiting == nil {
		return nil
	}
	timer := time.NewTimer(g.maxStale)
	defer timer.Stop()
	select {
	case <-waiting:
		return nil
	case <-timer.C:
		return nil
	case <-done:
		return code.New(code.ViewStale, "the caller disconnected while the view was being refreshed")
	}
}
