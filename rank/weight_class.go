package rank

import "math"

// drawSlack is a relative margin for the rounding of scores.
const drawSlack = 1e-9

// weightClass holds the nodes of one weight.
type weightClass struct {
	weight  float64
	hashes  []uint64
	indexes []int
}

// draw is a node's uniform number for a key. Within one weight, the largest
// draw has the least score.
type draw struct {
	value uint64
	index int
}

func (c *weightClass) add(hash uint64, index int) {
	c.hashes = append(c.hashes, hash)
	c.indexes = append(c.indexes, index)
}

// leastDraw returns a draw below which no node of the class can be among the
// first limit nodes, given the best ones of other classes.
func (c *weightClass) leastDraw(best []scored, limit int) uint64 {
	if len(best) < limit {
		return 0
	}
	uniform := math.Exp(-best[limit-1].score*c.weight) * (1 - drawSlack)
	return uint64(uniform*(1<<53)) << 11
}

// top fills best up to its capacity with the largest draws for key that are at
// least least, largest first. Draws that are equal keep the nodes' order.
func (c *weightClass) top(best []draw, key, least uint64) []draw {
	limit := cap(best)
	for i, hash := range c.hashes {
		value := mix(key, hash)
		if value < least || (value == least && len(best) == limit) {
			continue
		}
		best = insert(best, draw{value, c.indexes[i]})
		if len(best) == limit {
			least = max(least, best[limit-1].value)
		}
	}
	return best
}

// insert puts d in its place; the last one falls out if best is full.
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
