package estimate

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// HalfLife is the time after which a request counts half.
const HalfLife = 2 * time.Second

// Outcomes counts the recent requests to an endpoint. The counts decay with HalfLife, so
// sums of the counts of several VMs decay alike. The zero value counts nothing.
type Outcomes struct {
	// Good is the number of requests that were answered well, Failed that of those which
	// the endpoint failed or did not answer.
	Good   float64
	Failed float64
	// Timed is the number of answers whose delay was observed, Ratios the sum of their
	// delays, each as a multiple of the expected one.
	Timed  float64
	Ratios float64
	// at is the time as of which the counts hold.
	at clock.Boot
}

// NewOutcomes returns counts as of a time. slowness is the mean ratio of the delays of the good
// answers to the expected ones.
func NewOutcomes(good, failed, slowness float64, at clock.Boot) Outcomes {
	return Outcomes{Good: good, Failed: failed, Timed: good, Ratios: good * slowness, at: at}
}

// Total returns the number of requests.
func (o Outcomes) Total() float64 {
	return o.Good + o.Failed
}

// AsOf returns the counts as of a time. They don't grow if it is earlier than the time as
// of which they hold.
func (o Outcomes) AsOf(now clock.Boot) Outcomes {
	elapsed := now.Sub(o.at)
	if elapsed <= 0 || o.Total()+o.Timed == 0 {
		o.at = max(o.at, now)
		return o
	}
	factor := Decay(elapsed, HalfLife)
	return Outcomes{Good: o.Good * factor, Failed: o.Failed * factor, Timed: o.Timed * factor, Ratios: o.Ratios * factor, at: now}
}

// fadedAfter is the age from which less than a millionth of a count is left.
const fadedAfter = 20 * HalfLife

// Faded reports whether the counts are so old that less than a millionth of them is left. It costs less than AsOf.
func (o Outcomes) Faded(now clock.Boot) bool {
	return now.Sub(o.at) > fadedAfter
}

// Record counts one request.
func (o *Outcomes) Record(failed bool, now clock.Boot) {
	*o = o.AsOf(now)
	if failed {
		o.Failed++
	} else {
		o.Good++
	}
}

// Add adds the counts of another VM.
func (o *Outcomes) Add(other Outcomes, now clock.Boot) {
	*o, other = o.AsOf(now), other.AsOf(now)
	o.Good += other.Good
	o.Failed += other.Failed
	o.Timed += other.Timed
	o.Ratios += other.Ratios
}

// Subtract takes back counts that were added before.
func (o *Outcomes) Subtract(other Outcomes, now clock.Boot) {
	*o, other = o.AsOf(now), other.AsOf(now)
	o.Good = max(0, o.Good-other.Good)
	o.Failed = max(0, o.Failed-other.Failed)
	o.Timed = max(0, o.Timed-other.Timed)
	o.Ratios = max(0, o.Ratios-other.Ratios)
}

const (
	// expectedAnswers is how many answers as fast as expected an endpoint counts as having
	// given, so that a few slow ones say little.
	expectedAnswers = 8.0
	// maxRatio bounds the ratio of one answer's delay to the expected one.
	maxRatio = 10.0
)

// RecordDelay counts an answer whose delay was the given multiple of the expected one.
func (o *Outcomes) RecordDelay(ratio float64, now clock.Boot) {
	*o = o.AsOf(now)
	o.Timed++
	o.Ratios += min(maxRatio, ratio)
}

// Slowness returns how long the endpoint takes to begin an answer, as a multiple of what is
// expected of its service.
func (o Outcomes) Slowness() float64 {
	return (o.Ratios + expectedAnswers) / (o.Timed + expectedAnswers)
}

// MeanRatio returns the mean ratio of the observed delays to the expected ones, 1 if none was
// observed.
func (o Outcomes) MeanRatio() float64 {
	if o.Timed == 0 {
		return 1
	}
	return o.Ratios / o.Timed
}
