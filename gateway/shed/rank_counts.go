package shed

// rankCounts counts the requests of one rank by their chance to meet their objective.
type rankCounts struct {
	inTime, late classCounts
}

// minServedShareLate is the share of the late requests of a rank that is served at least, relative to
// the share of all requests.
const minServedShareLate = 0.4

// total returns the number of requests of the rank.
func (c *rankCounts) total() float64 {
	return c.inTime.total() + c.late.total()
}

// of returns the counts of the late requests or of the others.
func (c *rankCounts) of(late bool) *classCounts {
	if late {
		return &c.late
	}
	return &c.inTime
}

// decay multiplies all counts.
func (c *rankCounts) decay(factor float64) {
	c.inTime.decay(factor)
	c.late.decay(factor)
}

// refusalProbability returns the probability with which late requests of the rank, or the others, are
// refused, if those of the whole rank are refused with the given one. The late ones are refused first.
func (c *rankCounts) refusalProbability(late bool, probability, excess float64) float64 {
	refused, lateRequests := probability*c.total(), c.late.total()
	ofLate := 0.0
	if lateRequests > 0 {
		maxRefused := max(probability, 1-minServedShareLate*(1-excess))
		ofLate = min(maxRefused, refused/lateRequests)
	}
	if late {
		return ofLate
	}
	return min(probability, max(0, refused-ofLate*lateRequests)/max(c.inTime.total(), 1e-9))
}
