package warmup

import (
	"math"
	"time"
)

const (
	// turnLifetime is how long a turn may be used. It lets a VM with a few requests per second use most of its turns;
	// turns that were kept for longer could all be used in the same second by many VMs.
	turnLifetime = 250 * time.Millisecond
	// deviations is by how many standard deviations the bound on the requests in a second exceeds their expected
	// number: the turns of each VM start at a random time.
	deviations = 3.0
)

// Bounds bounds the requests to a cold endpoint within any second: a multiple of its rate and a constant number on top.
type Bounds struct {
	Excess float64
	Slack  float64
}

// fleetRate returns the number of requests per second that all VMs together may send to a cold endpoint that takes
// perSecond: at most as many, and so few that a second rarely has more than the bounds allow. The requests that may
// arrive within a second are those of the turns that come up in it or have not expired at its start.
func fleetRate(perSecond float64, bounds Bounds) float64 {
	limit := perSecond*bounds.Excess + bounds.Slack
	if limit <= 0 {
		return perSecond
	}
	// The expected number n fulfils n + deviations*sqrt(n) = limit.
	root := (math.Sqrt(deviations*deviations+4*limit) - deviations) / 2
	return min(perSecond, root*root/(time.Second+turnLifetime).Seconds())
}
