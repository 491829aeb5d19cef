package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// firstStartTimes bounds the waits of VMs that all start for the first time.
type firstStartTimes struct {
	// discovery is how long they exchange reports before one of them reads the store.
	discovery time.Duration
	// read bounds how long the others wait for it.
	read time.Duration
}

var defaultFirstStartTimes = firstStartTimes{discovery: 1500 * time.Millisecond, read: 3 * time.Second}

// startState is the state of a VM that has no configuration yet since its start.
type startState struct {
	elapsed time.Duration
	// firstStart reports whether the whole fleet starts for the first time.
	firstStart bool
	// betterReader reports whether a live VM has precedence for reading the store.
	betterReader bool
	times        firstStartTimes
}

// shouldWait reports whether the VM waits for other VMs instead of reading the store. Only the
// first start of the fleet has time for that.
func (s startState) shouldWait() bool {
	return s.firstStart && (s.elapsed < s.times.discovery || (s.betterReader && s.elapsed < s.times.read))
}

// awaitsFirstRead reports whether this VM, in the first start of the fleet, has received
// reports from others and waits until one of them has read the store.
func (g *Gateway) awaitsFirstRead(now clock.Boot) bool {
	if _, known := g.tracker.ConfirmedAt(); known || !g.settings.FirstStart {
		return false
	}
	elapsed, times := now.Sub(g.started), g.firstStartTimes.Load()
	return elapsed >= times.discovery/2 && elapsed < times.read
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
		times:        *g.firstStartTimes.Load(),
	}.shouldWait()
}

// hasBetterReader reports whether another VM of the same failure domain that reaches the store
// has precedence for reading it.
func (g *Gateway) hasBetterReader() bool {
	return g.countBetterReaders(func(member *gossip.Member) bool { return !member.Report.StoreLost }) > 0
}
