package balance

import "cardamompoint.example/cardamompoint/router/settings"

// engineLimits are the hard caps of one engine for one decision.
type engineLimits struct {
	requests int
	tokens   int
}

// wholeLimits returns the caps of an engine that may carry the given part of
// its load, from 0 to 1. One request is always left.
func wholeLimits(limits settings.Limits, part float64) engineLimits {
	return engineLimits{
		requests: max(1, int(part*float64(limits.EngineRequests))),
		tokens:   max(1, int(part*float64(limits.EngineTokens))),
	}
}

func (l engineLimits) of(fraction Fraction) engineLimits {
	return engineLimits{requests: fraction.Of(l.requests), tokens: fraction.Of(l.tokens)}
}

// part returns how much of the caps load takes, from 0.
func (l engineLimits) part(load ModelLoad) float64 {
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
