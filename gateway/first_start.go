package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// discoveryTime is how long VMs that all start for the first time exchange reports before
	// one of them reads the store. firstReadTimeout bounds how long the others wait for it.
	discoveryTime    = 1500 * time.Millisecond
	firstReadTimeout = 3 * time.Second
)

// startState is the state of a VM that has no configuration yet since its start.
type startState struct {
	elapsed time.Duration
	// firstStart reports whether the whole fleet starts for the first time.
	firstStart bool
	// betterReader reports whether a live VM has precedence for reading the store.
	betterReader bool
}

// shouldWait reports whether the VM waits for other VMs instead of reading the store. Only the
// first start of the fleet has time for that.
func (s startState) shouldWait() bool {
	return s.firstStart && (s.elapsed < discoveryTime || (s.betterReader && s.elapsed < firstReadTimeout))
}

// awaitsFirstRead reports whether this VM, in the first start of the fleet, has received
// reports from others and waits until one of them has read the store.
func (g *Gateway) awaitsFirstRead(now clock.Boot) bool {
	if _, known := g.tracker.ConfirmedAt(); known || !g.settings.FirstStart {
		return false
	}
	elapsed := now.Sub(g.started)
	return elapsed >= discoveryTime/2 && elapsed < firstReadTimeout
}

// waitsAtStart reports whether this VM must not read the store yet because others may read it
// first.
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

// hasBetterReader reports whether another VM of the same failure domain that reaches the store
// has precedence for reading it.
func (g *Gateway) hasBetterReader() bool {
	return g.countBetterReaders(func(member *gossip.Member) bool { return !member.Report.StoreLost }) > 0
}
