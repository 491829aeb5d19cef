package choice

const (
	// These penalties put a candidate behind all that have none. They are steps of ten,
	// so a larger one outweighs all smaller ones.
	unseenPenaltyMS    = 1e5
	overBoundPenaltyMS = 1e6
	warmUpPenaltyMS    = 1e7
	leavingPenaltyMS   = 1e8
	avoidedPenaltyMS   = 1e9
)

// Weights of the cost function. Costs are in milliseconds of delay.
const (
	// lateFactor multiplies the delay beyond lateThreshold, a share of the objective.
	lateFactor    = 4.0
	lateThreshold = 0.45
	// lostFactor is the cost of a lost request as a multiple of its objective: twice that of
	// one that is late by a whole objective, as its caller gets nothing. repeatFactor is the
	// cost of a failed attempt that is repeated.
	lostFactor   = 2 * lateFactor
	repeatFactor = 1.0
	// recentRequestsMS bounds the cost of recent requests, which only breaks ties.
	// tieRequests of them cost half of it.
	recentRequestsMS = 2.0
	tieRequests      = 10.0
	// failureDoubt is the number of standard errors by which an estimated failure probability
	// is lowered, so that an endpoint keeps its load until it is clearly worse than others.
	failureDoubt = 0.5
	// defaultObjectiveMS stands for the objective of requests that have none.
	defaultObjectiveMS = 500.0
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
	if o.warmingUp {
		cost += warmUpPenaltyMS
	}
	switch {
	case float64(o.load) > bound:
		cost += overBoundPenaltyMS + float64(o.load)*plainRequestMS
	case c.overBound(o, bound):
		cost += unseenPenaltyMS + float64(o.load)*plainRequestMS
	}
	cost += o.excess * c.failureCostMS()
	if o.endpoint.FailureDomain != c.table.domain {
		cost += crossDomainMS
	}
	cost += c.delayCost(o)
	if len(c.prompt.Parts) == 0 {
		return cost + float64(o.load)*plainRequestMS/float64(max(1, o.endpoint.Slots)) + c.tieBreaker(o)
	}
	return cost + float64(o.load)*activeRequestMS + c.promptCost(o)
}

// failureCostMS returns the cost of a failed attempt, in milliseconds of delay: a request
// that can't be sent again is lost, another one is delayed.
func (c *chooser) failureCostMS() float64 {
	objectiveMS := c.objectiveMS
	if objectiveMS == 0 {
		objectiveMS = defaultObjectiveMS
	}
	if c.once {
		return lostFactor * objectiveMS
	}
	return repeatFactor * objectiveMS
}

// delayCost returns the cost of the time until a candidate begins an answer, in milliseconds.
func (c *chooser) delayCost(o *option) float64 {
	cost := o.delayMS
	if c.objectiveMS > 0 {
		cost += lateFactor * max(0, o.delayMS-lateThreshold*c.objectiveMS)
	}
	return cost
}

// promptCost returns the cost of prompt parts that a candidate lacks, in milliseconds.
func (c *chooser) promptCost(o *option) float64 {
	if !c.lastPartKnown {
		return rankPenaltyMS * float64(min(o.rank, lowestRank))
	}
	return recomputeTokenMS*float64(o.recomputeTokens) + copyTokenMS*float64(o.missingTokens-o.recomputeTokens)
}

// tieBreaker separates endpoints that serve requests without prompt parts and have equal
// load, in milliseconds: the endpoint with the fewest recent requests goes first.
func (c *chooser) tieBreaker(o *option) float64 {
	byHash := float64(o.state.hash%7) / 100
	recent := o.outcomes.Total() + float64(o.state.sentSinceReport)
	return byHash + recentRequestsMS*recent/(recent+tieRequests)
}
