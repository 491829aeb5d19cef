package rank

import "math"

// drawMargin is a relative margin for rounding errors of scores.
const drawMargin = 1e-9

// weightClass holds the nodes of one weight: their hashes and their indexes in the set.
type weightClass struct {
	weight  float64
	hashes  []uint64
	indexes []int
}

// draw is a node's uniformly distributed number for a key. Among nodes of equal weight,
// the largest draw has the lowest score.
type draw struct {
	value uint64
	index int
}

// add adds a node to the class.
func (c *weightClass) add(hash uint64, index int) {
	c.hashes = append(c.hashes, hash)
	c.indexes = append(c.indexes, index)
}

// minDraw returns a draw below which no node of the class can be among the first limit
// nodes, given the best nodes of the other classes so far, sorted by score.
func (c *weightClass) minDraw(best []scored, limit int) uint64 {
	if len(best) < limit {
		return 0
	}
	uniform := math.Exp(-best[limit-1].score*c.weight) * (1 - drawMargin)
	return uint64(uniform*(1<<53)) << 11
}

// top fills best up to its capacity with the largest draws for key that are at least
// threshold, largest first. Equal draws keep the order of the nodes.
func (c *weightClass) top(best []draw, key, threshold uint64) []draw {
	limit := cap(best)
	for i, hash := range c.hashes {
		value := mix(key, hash)
		if value < threshold || (value == threshold && len(best) == limit) {
			continue
		}
		best = insert(best, draw{value, c.indexes[i]})
		if len(best) == limit {
			threshold = max(threshold, best[limit-1].value)
		}
	}
	return best
}

// insert inserts d into best, which is sorted from the largest draw to the smallest. If
// best is at its capacity, the last draw is dropped.
func insert(best []draw, d draw) []draw {
	if len(best) < cap(best) {
		best = append(best, d)
	}
	at := len(best) - 1
	for at > 0 && best[at-1].value < d.value {
		best[at] = best[at-1]
		at--
	}
	best[at] = d
	return best
}
