package choice

const (
	// These penalties put a candidate behind all that have none. They are steps of ten,
	// so a larger one outweighs all smaller ones.
	overBoundPenaltyMS = 1e6
	leavingPenaltyMS   = 1e7
	avoidedPenaltyMS   = 1e8
)

// Weights of the cost function. Costs are in milliseconds of delay.
const (
	// lateFactor multiplies the delay beyond lateThreshold, a share of the objective.
	lateFactor    = 4.0
	lateThreshold = 0.45
	// recomputeTokenMS is the cost of each shared token that is prefilled again although
	// another engine holds it, copyTokenMS that of each copied token.
	recomputeTokenMS = 0.19
	copyTokenMS      = 0.03
	// rankPenaltyMS is the cost of each rank below the first for parts without a known
	// holder. Ranks from lowestRank on cost the same.
	rankPenaltyMS = 120.0
	lowestRank    = 4
)

// cost returns the estimated cost of a candidate in milliseconds of delay. A load above
// bound is penalized.
func (c *chooser) cost(o *option, bound float64) float64 {
	cost := 0.0
	if o.avoided {
		cost += avoidedPenaltyMS
	}
	if o.leaving {
		cost += leavingPenaltyMS
	}
	if float64(o.load) > bound {
		cost += overBoundPenaltyMS + float64(o.load)*plainRequestMS
	}
	if excess := o.failureShare - c.lowestFailureShare; excess > normalFailureShare {
		cost += excess * failurePenaltyMS
	}
	if o.endpoint.FailureDomain != c.table.domain {
		cost += crossDomainMS
	}
	if len(c.prompt.Parts) == 0 {
		return cost + float64(o.load)*plainRequestMS/float64(max(1, o.endpoint.Slots)) + jitter(o)
	}
	return cost + float64(o.load)*activeRequestMS + c.promptCost(o)
}

// promptCost returns the cost of prefilling the prompt at a candidate, in milliseconds.
func (c *chooser) promptCost(o *option) float64 {
	cost := o.delayMS
	if c.objectiveMS > 0 {
		cost += lateFactor * max(0, o.delayMS-lateThreshold*c.objectiveMS)
	}
	if !c.lastPartKnown {
		return cost + rankPenaltyMS*float64(min(o.rank, lowestRank))
	}
	return cost + recomputeTokenMS*float64(o.recomputeTokens) + copyTokenMS*float64(o.missingTokens-o.recomputeTokens)
}

// jitter breaks ties between endpoints that serve requests without prompt parts, by
// their hash and the number of requests sent there. It is in milliseconds.
func jitter(o *option) float64 {
	return float64(o.state.hash%7)/100 + float64(o.state.sentSinceReport%16)/10
}
