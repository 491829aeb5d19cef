package member

import (
	"math"

	"cardamompoint.example/cardamompoint/router/balance"
)

// Mean is an estimate of the mean load of one router for one model.
type Mean struct {
	// Tokens is the mean number of tokens.
	Tokens float64 `json:"t"`
	// Requests is the mean number of requests.
	Requests float64 `json:"r"`
}

// meanLeak pulls an estimate towards the own load with each period, so that
// what was lost with an answer or a router is forgotten.
const meanLeak = 0.02

// means estimates the mean load by pairwise averaging: an exchange moves both
// sides to the middle, which keeps the sum over the fleet, and a change of the
// own load is added in full. It is not safe for concurrent use.
type means struct {
	own      map[string]balance.ModelLoad
	estimate map[string]Mean
}

func newMeans() *means {
	return &means{own: map[string]balance.ModelLoad{}, estimate: map[string]Mean{}}
}

// setOwn takes in the own load at the begin of a period.
func (m *means) setOwn(own map[string]balance.ModelLoad) {
	for model := range m.own {
		if _, ok := own[model]; !ok {
			m.change(model, balance.ModelLoad{})
		}
	}
	for model, load := range own {
		m.change(model, load)
	}
	m.own = own
}

func (m *means) change(model string, load balance.ModelLoad) {
	before, mean := m.own[model], m.estimate[model]
	mean.Tokens += float64(load.Tokens-before.Tokens) + meanLeak*(float64(before.Tokens)-mean.Tokens)
	mean.Requests += float64(load.Requests-before.Requests) + meanLeak*(float64(before.Requests)-mean.Requests)
	m.estimate[model] = mean
}

// average moves the estimates halfway by the difference between the other
// side's and the own ones at the time of the exchange.
func (m *means) average(own, other map[string]Mean) {
	for model, theirs := range other {
		m.move(model, theirs, own[model])
	}
	for model, mine := range own {
		if _, ok := other[model]; !ok {
			m.move(model, Mean{}, mine)
		}
	}
}

func (m *means) move(model string, theirs, mine Mean) {
	mean := m.estimate[model]
	mean.Tokens += (theirs.Tokens - mine.Tokens) / 2
	mean.Requests += (theirs.Requests - mine.Requests) / 2
	m.estimate[model] = mean
}

// snapshot returns a copy for a message.
func (m *means) snapshot() map[string]Mean {
	copied := make(map[string]Mean, len(m.estimate))
	for model, mean := range m.estimate {
		copied[model] = Mean{Tokens: rounded(mean.Tokens), Requests: rounded(mean.Requests)}
	}
	return copied
}

// rounded keeps messages short.
func rounded(x float64) float64 {
	const places = 100
	return math.Round(x*places) / places
}
