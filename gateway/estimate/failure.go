package estimate

import "math"

const (
	// assumedFailures of assumedRequests is the share of failed requests assumed for a
	// service of which nothing is known.
	assumedFailures = 0.2
	assumedRequests = 10.0
	// minSample is the number of recent requests below which an endpoint says nothing about
	// how much the endpoints differ.
	minSample = 0.5
	// minWeight is the least number of requests to an endpoint that count as much as the
	// service's mean, so that a few requests never decide alone.
	minWeight = 5.0
	// decayedVariance is the variance of a count that decays while requests come steadily, as
	// a share of that of a whole count.
	decayedVariance = 0.5
)

// Failures estimates the chance that a request fails at each endpoint of a service. It
// compares the endpoints: if their outcomes differ no more than chance explains, all get the
// service's share of failed requests, so a failure that they share counts against none. The
// more they differ, the more an endpoint's own outcomes decide.
//
// Each endpoint's probability is that of a beta-binomial model whose two parameters, the mean
// and the correlation of the requests of one endpoint, are estimated by moments. The zero
// value has seen no endpoint.
type Failures struct {
	// endpoints is the number of endpoints with at least minSample requests.
	endpoints int
	total     float64
	failed    float64
	// squares is the sum of the squared numbers of requests, weighted that of the squared
	// failures divided by the requests.
	squares  float64
	weighted float64
}

// Add takes in the outcomes of one endpoint.
func (f *Failures) Add(o Outcomes) {
	total := o.Total()
	f.total += total
	f.failed += o.Failed
	if total < minSample {
		return
	}
	f.endpoints++
	f.squares += total * total
	f.weighted += o.Failed * o.Failed / total
}

// Model returns the model of the endpoints that were added.
func (f *Failures) Model() FailureModel {
	mean := (f.failed + assumedFailures) / (f.total + assumedRequests)
	correlation := f.correlation()
	if correlation <= 0 {
		return FailureModel{mean: mean}
	}
	return FailureModel{mean: mean, weight: max(minWeight, (1-correlation)/correlation), differ: true}
}

// correlation estimates how much the outcomes of one endpoint have in common, from 0 if the
// endpoints differ no more than by chance.
func (f *Failures) correlation() float64 {
	if f.endpoints < 2 || f.failed <= 0 || f.failed >= f.total {
		return 0
	}
	share := f.failed / f.total
	observed := (f.weighted - f.failed*share) / (share * (1 - share))
	byChance := spreadByChance(f.endpoints)
	most := f.total - f.squares/f.total
	if most <= byChance {
		return 0
	}
	return (observed - byChance) / (most - byChance)
}

// spreadByChance returns how far the outcomes of endpoints that don't differ may be spread:
// two standard deviations above the mean of the chi-square distribution.
func spreadByChance(endpoints int) float64 {
	freedom := float64(endpoints - 1)
	return decayedVariance * (freedom + 2*math.Sqrt(2*freedom))
}

// FailureModel returns failure probabilities of the endpoints of one service.
type FailureModel struct {
	mean float64
	// weight is how many requests to an endpoint count as much as the mean. differ is false
	// if the endpoints don't differ.
	weight float64
	differ bool
}

// Differ reports whether the outcomes of the endpoints differ more than by chance.
func (m FailureModel) Differ() bool {
	return m.differ
}

// Mean returns the chance that a request fails at an endpoint of which nothing is known.
func (m FailureModel) Mean() float64 {
	return m.mean
}

// Probability returns the chance that the next request to an endpoint with these outcomes
// fails.
func (m FailureModel) Probability(o Outcomes) float64 {
	if !m.differ {
		return m.mean
	}
	return (o.Failed + m.weight*m.mean) / (o.Total() + m.weight)
}

// Error returns the standard error of the Probability of an endpoint with these outcomes.
func (m FailureModel) Error(o Outcomes) float64 {
	if !m.differ {
		return 0
	}
	probability := m.Probability(o)
	return math.Sqrt(probability * (1 - probability) / (o.Total() + m.weight))
}
