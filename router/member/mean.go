package member

import (
	"math"

	"cardamompoint.example/cardamompoint/router/balance"
)

// Mean is an estimate of the mean load of a router for one model.
type Mean struct {
	// Tokens is the estimated mean number of tokens.
	Tokens float64 `json:"t"`
	// Requests is the estimated mean number of requests.
	Requests float64 `json:"r"`
}

// meanDecay is the fraction by which an estimate moves towards this router's own
// load in each period, so that errors from a lost answer or a lost router fade.
const meanDecay = 0.02

// means estimates the mean load of the fleet's routers by pairwise averaging: an
// exchange moves both sides to their midpoint, which preserves the sum over the
// fleet, and a change of this router's own load is added in full. It is not safe
// for concurrent use.
type means struct {
	own      map[string]balance.ModelLoad
	estimate map[string]Mean
}

func newMeans() *means {
	return &means{own: map[string]balance.ModelLoad{}, estimate: map[string]Mean{}}
}

// setOwn sets this router's own load at the start of a period. Models that no
// longer have a load count as 0.
func (m *means) setOwn(own map[string]balance.ModelLoad) {
	for model := range m.own {
		if _, ok := own[model]; !ok {
			m.applyLoad(model, balance.ModelLoad{})
		}
	}
	for model, load := range own {
		m.applyLoad(model, load)
	}
	m.own = own
}

// applyLoad adds the change of this router's own load for a model to the estimate
// and applies the decay.
func (m *means) applyLoad(model string, load balance.ModelLoad) {
	before, mean := m.own[model], m.estimate[model]
	mean.Tokens += float64(load.Tokens-before.Tokens) + meanDecay*(float64(before.Tokens)-mean.Tokens)
	mean.Requests += float64(load.Requests-before.Requests) + meanDecay*(float64(before.Requests)-mean.Requests)
	m.estimate[model] = mean
}

// average moves each estimate by half the difference between the peer's estimate,
// other, and this router's, own, both as sent in the exchange.
func (m *means) average(own, other map[string]Mean) {
	for model, theirs := range other {
		m.moveHalfway(model, theirs, own[model])
	}
	for model, mine := range own {
		if _, ok := other[model]; !ok {
			m.moveHalfway(model, Mean{}, mine)
		}
	}
}

// moveHalfway adds half the difference between the peer's and this router's
// exchanged estimates, theirs and mine, to the current estimate for a model.
func (m *means) moveHalfway(model string, theirs, mine Mean) {
	mean := m.estimate[model]
	mean.Tokens += (theirs.Tokens - mine.Tokens) / 2
	mean.Requests += (theirs.Requests - mine.Requests) / 2
	m.estimate[model] = mean
}

// snapshot returns a copy of the estimates, rounded for a heartbeat.
func (m *means) snapshot() map[string]Mean {
	copied := make(map[string]Mean, len(m.estimate))
	for model, mean := range m.estimate {
		copied[model] = Mean{Tokens: roundToHundredths(mean.Tokens), Requests: roundToHundredths(mean.Requests)}
	}
	return copied
}

// roundToHundredths rounds x to two decimal places, which keeps heartbeats short.
func roundToHundredths(x float64) float64 {
	const places = 100
	return math.Round(x*places) / places
}
