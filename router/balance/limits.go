package balance

import "cardamompoint.example/cardamompoint/router/settings"

// engineLimits are the hard caps of one engine in one admission decision.
type engineLimits struct {
	requests int
	tokens   int
}

// newEngineLimits returns the caps of an engine that may use capacityFraction of
// its capacity, from 0 to 1. One request and one token are always allowed.
func newEngineLimits(limits settings.Limits, capacityFraction float64) engineLimits {
	return engineLimits{
		requests: max(1, int(capacityFraction*float64(limits.EngineRequests))),
		tokens:   max(1, int(capacityFraction*float64(limits.EngineTokens))),
	}
}

// scaled returns the caps of a router that may use fraction of the engine.
func (l engineLimits) scaled(fraction Fraction) engineLimits {
	return engineLimits{requests: fraction.Of(l.requests), tokens: fraction.Of(l.tokens)}
}

// utilization returns the fraction of the caps that load takes up: 0 for no
// load, above 1 for a load beyond the caps.
func (l engineLimits) utilization(load ModelLoad) float64 {
	if l.requests == 0 || l.tokens == 0 {
		return 1
	}
	requests := float64(load.Requests) / float64(l.requests)
	return max(requests, float64(load.Tokens)/float64(l.tokens))
}

// fits reports whether load is within the caps.
func (l engineLimits) fits(load ModelLoad) bool {
	return load.Requests <= l.requests && load.Tokens <= l.tokens
}
