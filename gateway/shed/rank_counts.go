package shed

// lateServedFactor is the share of the late requests of a rank that is served at least, relative to the least
// share of the rank. The larger it is, the less of the value is served in time in an overload; the smaller, the
// fewer callers that return are served.
const lateServedFactor = 1.0 / 3

// rankCounts counts the requests of one rank: those that can meet their objective and the late ones.
type rankCounts struct {
	inTime, late float64
}

// add counts a request.
func (c *rankCounts) add(late bool) {
	if late {
		c.late++
		return
	}
	c.inTime++
}

// total returns the number of requests of the rank.
func (c *rankCounts) total() float64 {
	return c.inTime + c.late
}

// decay multiplies all counts.
func (c *rankCounts) decay(factor float64) {
	c.inTime *= factor
	c.late *= factor
}

// refusalProbability returns the probability with which the late requests of the rank, or those in time, are
// refused. ofRank is the mean probability for the whole rank, which is at most maxOfRank. The late requests are
// refused first.
func (c *rankCounts) refusalProbability(late bool, ofRank, maxOfRank float64) float64 {
	refused := ofRank * c.total()
	maxOfLate := 1 - lateServedFactor*(1-maxOfRank)
	if refused <= maxOfLate*c.late {
		if !late {
			return 0
		}
		return refused / c.late
	}
	if late || c.inTime <= 0 {
		return maxOfLate
	}
	return min(ofRank, (refused-maxOfLate*c.late)/c.inTime)
}
