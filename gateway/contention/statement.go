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
	// decayStep is the resolution of the age in decayByAge.
	decayStep = 5 * time.Millisecond
)

// decayByAge holds the factor by which an excess has decayed at each age, in steps of decayStep. Without it a choice among
// 1,000 endpoints computes an exponential for each contended one, 30 ns each.
var decayByAge = func() (all [lifetime/decayStep + 1]float64) {
	for step := range all {
		all[step] = estimate.Decay(time.Duration(step)*decayStep, HalfLife)
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
	return s.decayed(common, now)
}

// decayed returns the Factor of a statement above common.
func (s Statement) decayed(common float64, now clock.Boot) float64 {
	age := now.Sub(s.at)
	if age > lifetime {
		return 1
	}
	return 1 + (s.factor/common-1)*decayByAge[max(0, age)/decayStep]
}
