package estimate

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// delayHalfLife is the time after which an observed delay counts half. Delays of a
	// service change slowly, unlike those of one endpoint.
	delayHalfLife = 20 * time.Second
	// minDelays is the weight of the observed delays from which they replace the defaults.
	minDelays = 8.0
	// defaultTokensPerMS is the prefill speed assumed until it is learned, and whenever all
	// observed prompts are of about the same size.
	defaultTokensPerMS = 50.0
	// minTokensPerMS and maxTokensPerMS bound the learned speed.
	minTokensPerMS = 5.0
	maxTokensPerMS = 1000.0
	// minTokenDeviation is the standard deviation of the tokens from which a speed is
	// learned.
	minTokenDeviation = 300.0
	// maxSurprise bounds an observed delay, as a multiple of the expected one, so that
	// single answers don't decide.
	maxSurprise = 2.0
)

// DelayModel learns how long the endpoints of a service take until an answer begins: a base
// time plus a time for each token to prefill, by weighted least squares. The zero value has
// observed nothing.
type DelayModel struct {
	at clock.Boot
	// weight is the decayed number of observations. The others are decayed sums of the
	// tokens, the delays in milliseconds, and their products.
	weight, tokens, delays, squares, products float64
}

// Observe records that an answer began after the given time, when the endpoint had tokens to
// prefill.
func (m *DelayModel) Observe(tokens int, took time.Duration, now clock.Boot) {
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	if m.Learned() {
		y = min(y, maxSurprise*m.ExpectMS(x))
	}
	factor := Decay(now.Sub(m.at), delayHalfLife)
	m.at = max(m.at, now)
	m.weight = m.weight*factor + 1
	m.tokens = m.tokens*factor + x
	m.delays = m.delays*factor + y
	m.squares = m.squares*factor + x*x
	m.products = m.products*factor + x*y
}

// Learned reports whether enough was observed for an expectation.
func (m *DelayModel) Learned() bool {
	return m.weight >= minDelays
}

// tokenMS returns the time to prefill one token, in milliseconds.
func (m *DelayModel) tokenMS() float64 {
	if !m.Learned() {
		return 1 / defaultTokensPerMS
	}
	variance := m.squares/m.weight - (m.tokens/m.weight)*(m.tokens/m.weight)
	if variance < minTokenDeviation*minTokenDeviation {
		return 1 / defaultTokensPerMS
	}
	covariance := m.products/m.weight - (m.tokens/m.weight)*(m.delays/m.weight)
	return min(1/minTokensPerMS, max(1/maxTokensPerMS, covariance/variance))
}

// ExpectMS returns the expected time in milliseconds until an answer begins at an endpoint
// that has tokens to prefill.
func (m *DelayModel) ExpectMS(tokens float64) float64 {
	return m.baseMS() + tokens*m.tokenMS()
}

// baseMS returns the expected time without tokens to prefill, 0 until it is learned.
func (m *DelayModel) baseMS() float64 {
	if !m.Learned() {
		return 0
	}
	return max(0, (m.delays-m.tokens*m.tokenMS())/m.weight)
}
