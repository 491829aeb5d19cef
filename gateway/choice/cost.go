package choice

const (
	// overBoundMS, leavingMS and avoidedMS put a candidate behind all others.
	overBoundMS = 1e6
	leavingMS   = 1e7
	avoidedMS   = 1e8
)

// The costs, in milliseconds.
const (
	// lateWeight multiplies a delay beyond latePart of the objective.
	lateWeight = 4.0
	latePart   = 0.45
	// readTokenMS is the cost of each token that is read again though another
	// engine holds it, and copyTokenMS of each one that is copied.
	readTokenMS = 0.19
	copyTokenMS = 0.03
	// positionMS is the cost of each place behind the best-ranked engine for
	// parts that nobody holds, up to lastPosition.
	positionMS   = 120.0
	lastPosition = 4
)

// cost estimates what a candidate costs, in milliseconds of delay.
func (c *chooser) cost(o *option, bound float64) float64 {
	cost := 0.0
	if o.avoided {
		cost += avoidedMS
	}
	if o.leaving {
		cost += leavingMS
	}
	if float64(o.load) > bound {
		cost += overBoundMS + float64(o.load)*plainRequestMS
	}
	if excess := o.faults - c.floor; excess > faultFloor {
		cost += excess * faultMS
	}
	if o.endpoint.FailureDomain != c.table.domain {
		cost += otherDomainMS
	}
	if len(c.prompt.Parts) == 0 {
		return cost + float64(o.load)*plainRequestMS/float64(max(1, o.endpoint.Slots)) + jitter(o)
	}
	return cost + float64(o.load)*runningMS + c.promptCost(o)
}

// promptCost is the cost of reading the prompt at a candidate.
func (c *chooser) promptCost(o *option) float64 {
	cost := o.delayMS
	if c.objectiveMS > 0 {
		cost += lateWeight * max(0, o.delayMS-latePart*c.objectiveMS)
	}
	if !c.known {
		return cost + positionMS*float64(min(o.position, lastPosition))
	}
	return cost + readTokenMS*float64(o.left) + copyTokenMS*float64(o.missing-o.left)
}

// jitter breaks ties between endpoints without a prompt by the number of
// requests sent there.
func jitter(o *option) float64 {
	return float64(o.state.hash%7)/100 + float64(o.state.sent%16)/10
}
