package rank

import (
	"math"
	"math/bits"
	"slices"
)

// stackLimit is the number of ranked nodes up to which AppendTop needs no
// memory of its own.
const stackLimit = 32

// Set is a prepared set of nodes. Nodes of equal weight are kept together, so
// that they are compared by their draws and need no logarithm. A Set is
// immutable and may be used concurrently.
type Set struct {
	classes []weightClass
	size    int
}

// NewSet prepares nodes. The indexes that AppendTop returns are those of nodes.
func NewSet(nodes []Node) *Set {
	set := &Set{size: len(nodes)}
	byWeight := map[float64]int{}
	for i := range nodes {
		at, ok := byWeight[nodes[i].Weight]
		if !ok {
			at = len(set.classes)
			byWeight[nodes[i].Weight] = at
			set.classes = append(set.classes, weightClass{weight: nodes[i].Weight})
		}
		set.classes[at].add(nodes[i].hash, i)
	}
	return set
}

// Len returns the number of nodes.
func (s *Set) Len() int {
	return s.size
}

// AppendTop appends the indexes of the first limit nodes for key to dst, best
// first, and returns it. A limit of 0 or less means all. Up to a limit of 32 it
// allocates only what dst lacks.
func (s *Set) AppendTop(dst []int, key uint64, limit int) []int {
	if limit <= 0 || limit > s.size {
		limit = s.size
	}
	if limit == 0 {
		return dst
	}
	if limit > stackLimit {
		return s.appendSorted(dst, key, limit)
	}
	var draws [stackLimit]draw
	var scores [2 * stackLimit]scored
	best := scores[:0]
	for i := range s.classes {
		c := &s.classes[i]
		for _, d := range c.top(draws[:0:limit], key, c.leastDraw(best, limit)) {
			best = append(best, scored{d.index, score(d.value, c.weight)})
		}
		best = leastScores(best, limit)
	}
	return appendIndexes(dst, best)
}

// appendSorted ranks all nodes.
func (s *Set) appendSorted(dst []int, key uint64, limit int) []int {
	all := make([]scored, 0, s.size)
	for i := range s.classes {
		c := &s.classes[i]
		for at, hash := range c.hashes {
			all = append(all, scored{c.indexes[at], score(mix(key, hash), c.weight)})
		}
	}
	return appendIndexes(dst, leastScores(all, limit))
}

// scored is a node's index with its score.
type scored struct {
	index int
	score float64
}

func leastScores(entries []scored, limit int) []scored {
	slices.SortFunc(entries, func(a, b scored) int {
		if a.score < b.score {
			return -1
		}
		if a.score > b.score {
			return 1
		}
		return a.index - b.index
	})
	return entries[:min(limit, len(entries))]
}

func appendIndexes(dst []int, entries []scored) []int {
	for _, entry := range entries {
		dst = append(dst, entry.index)
	}
	return dst
}

// score turns a uniform draw into an exponentially distributed number with
// weight as its rate. The node with the least score wins a part of the keys in
// proportion to its weight.
func score(value uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	uniform := (float64(value>>11) + 0.5) * unit
	return -math.Log(uniform) / weight
}

// mixSeed keeps small keys from giving draws that are alike.
const mixSeed = 0x9e3779b97f4a7c15

// mix folds the product of two hashes into one draw.
func mix(key, hash uint64) uint64 {
	high, low := bits.Mul64(key^mixSeed, hash)
	return high ^ low
}
