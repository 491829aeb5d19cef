package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// hearingTime is how long VMs that all start for the first time hear each
	// other before one of them reads the store, and readWithin how long the others
	// wait for it.
	hearingTime = 1500 * time.Millisecond
	readWithin  = 3 * time.Second
)

// start is what a VM that knows no configuration yet has seen since its start.
type start struct {
	elapsed time.Duration
	// first tells that the whole fleet starts for the first time.
	first bool
	// betterReader tells that another VM that is alive rather reads the store.
	betterReader bool
}

// holds reports whether the VM waits for others instead of reading the store.
// Only the first start of all has time for that.
func (s start) holds() bool {
	return s.first && (s.elapsed < hearingTime || (s.betterReader && s.elapsed < readWithin))
}

// awaitsFirstRead reports whether this VM, at the first start of all, has heard others and
// waits until one of them has read the store.
func (g *Gateway) awaitsFirstRead(now clock.Boot) bool {
	if _, known := g.tracker.ConfirmedAt(); known || !g.settings.FirstStart {
		return false
	}
	elapsed := now.Sub(g.started)
	return elapsed >= hearingTime/2 && elapsed < readWithin
}

// holdsAtStart reports whether this VM still waits for others.
func (g *Gateway) holdsAtStart() bool {
	if _, known := g.tracker.ConfirmedAt(); known {
		return false
	}
	now := clock.Now()
	return start{
		elapsed:      now.Sub(g.started),
		first:        g.settings.FirstStart,
		betterReader: g.hasBetterReader(),
	}.holds()
}

// hasBetterReader reports whether a VM of the own failure domain that the store serves
// ranks before this one for reading it.
func (g *Gateway) hasBetterReader() bool {
	return g.betterReaders(func(member *news.Member) bool { return !member.Report.StoreLost }) > 0
}
