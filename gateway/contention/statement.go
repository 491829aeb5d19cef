package contention

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// HalfLife is the time after which the expected excess of a statement is half of the stated one. The figure changes
	// many times per second, so one that is half a second old says little.
	HalfLife = 300 * time.Millisecond
	// lifetime is how long a statement counts. After five half-lives a host that stated 2.5 is expected to take 5
	// percent longer than others.
	lifetime = 5 * HalfLife
	// maxFactor bounds what one statement counts, as single answers are bounded in package estimate: with the 100
	// that an endpoint can state, a single faulty value would count for more than a second.
	maxFactor = 10.0
	// remainderStep is the resolution of the age.
	remainderStep = 5 * time.Millisecond
)

// remainders are the parts of an excess that are left by age, in steps. Without them a choice among 1,000 endpoints
// computes an exponential for each contended one, 30 ns each.
var remainders = func() (all [lifetime/remainderStep + 1]float64) {
	for step := range all {
		all[step] = estimate.Decay(time.Duration(step)*remainderStep, HalfLife)
	}
	return all
}()

// Statement is what an instance stated last about its host. The zero value is that of an instance that has stated
// nothing.
type Statement struct {
	// factor is the stated multiple of the usual time, from 1 to maxFactor.
	factor float64
	at     clock.Boot
}

// newStatement returns a statement. Values under 1 count as 1, so that requests don't gather at the endpoint that
// last looked fast.
func newStatement(stated float64, at clock.Boot) Statement {
	return Statement{min(max(stated, 1), maxFactor), at}
}

// Factor returns how long work is expected to take on the host now, as a multiple of common, which is what hosts of
// the service usually state. It is at least 1.
func (s Statement) Factor(common float64, now clock.Boot) float64 {
	if s.factor <= common {
		return 1
	}
	return s.faded(common, now)
}

// faded returns the Factor of a statement above common.
func (s Statement) faded(common float64, now clock.Boot) float64 {
	age := now.Sub(s.at)
	if age > lifetime {
		return 1
	}
	return 1 + (s.factor/common-1)*remainders[max(0, age)/remainderStep]
}
