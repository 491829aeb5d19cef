package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// discoveryTime is how long VMs that all start for the first time hear each
	// other before one of them reads the store, and firstReadTimeout how long the others
	// wait for it.
	discoveryTime    = 1500 * time.Millisecond
	firstReadTimeout = 3 * time.Second
)

// startState is what a VM that knows no configuration yet has seen since its start.
type startState struct {
	elapsed time.Duration
	// firstStart tells that the whole fleet starts for the first time.
	firstStart bool
	// betterReader tells that another VM that is alive rather reads the store.
	betterReader bool
}

// shouldWait reports whether the VM waits for others instead of reading the store.
// Only the first start of all has time for that.
func (s startState) shouldWait() bool {
	return s.firstStart && (s.elapsed < discoveryTime || (s.betterReader && s.elapsed < firstReadTimeout))
}

// awaitsFirstRead reports whether this VM, at the first start of all, has heard others and
// waits until one of them has read the store.
func (g *Gateway) awaitsFirstRead(now clock.Boot) bool {
	if _, known := g.tracker.ConfirmedAt(); known || !g.settings.FirstStart {
		return false
	}
	elapsed := now.Sub(g.started)
	return elapsed >= discoveryTime/2 && elapsed < firstReadTimeout
}

// waitsAtStart reports whether this VM still waits for others.
func (g *Gateway) waitsAtStart() bool {
	if _, known := g.tracker.ConfirmedAt(); known {
		return false
	}
	now := clock.Now()
	return startState{
		elapsed:      now.Sub(g.started),
		firstStart:   g.settings.FirstStart,
		betterReader: g.hasBetterReader(),
	}.shouldWait()
}

// hasBetterReader reports whether a VM of the own failure domain that the store serves
// ranks before this one for reading it.
func (g *Gateway) hasBetterReader() bool {
	return g.countBetterReaders(func(member *news.Member) bool { return !member.Report.StoreLost }) > 0
}
