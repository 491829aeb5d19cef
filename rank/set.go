package rank

import (
	"math"
	"math/bits"
	"slices"
)

// stackLimit is the largest limit for which AppendTop works on stack memory only.
const stackLimit = 32

// Set is a prepared set of nodes. Nodes of equal weight form a class, within which they
// are compared by their draws without computing a logarithm. A Set is immutable and safe
// for concurrent use.
type Set struct {
	classes []weightClass
	size    int
}

// NewSet returns a Set of nodes. AppendTop returns indexes into nodes.
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

// AppendTop appends the indexes of the first limit nodes for key to dst, best first, and
// returns the extended slice. A limit of 0 or less means all. Up to a limit of 32 it
// allocates nothing unless dst has to grow.
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
		for _, d := range c.top(draws[:0:limit], key, c.minDraw(best, limit)) {
			best = append(best, scored{d.index, score(d.value, c.weight)})
		}
		best = lowestScores(best, limit)
	}
	return appendIndexes(dst, best)
}

// appendSorted is AppendTop for large limits. It scores and sorts all nodes.
func (s *Set) appendSorted(dst []int, key uint64, limit int) []int {
	all := make([]scored, 0, s.size)
	for i := range s.classes {
		c := &s.classes[i]
		for at, hash := range c.hashes {
			all = append(all, scored{c.indexes[at], score(mix(key, hash), c.weight)})
		}
	}
	return appendIndexes(dst, lowestScores(all, limit))
}

// scored is a node's index with its score.
type scored struct {
	index int
	score float64
}

// lowestScores sorts entries by score in place and returns the first limit of them.
// Entries of equal score are in the order of their indexes.
func lowestScores(entries []scored, limit int) []scored {
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

// appendIndexes appends the indexes of entries to dst.
func appendIndexes(dst []int, entries []scored) []int {
	for _, entry := range entries {
		dst = append(dst, entry.index)
	}
	return dst
}

// score turns a uniform draw into an exponentially distributed number with weight as its
// rate. As the node with the lowest score ranks first, each node ranks first for a share
// of the keys in proportion to its weight.
func score(value uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	uniform := (float64(value>>11) + 0.5) * unit
	return -math.Log(uniform) / weight
}

// mixSeed keeps small keys from producing similar draws.
const mixSeed = 0x9e3779b97f4a7c15

// mix combines the hashes of a key and a node into a draw by folding their 128-bit
// product.
func mix(key, hash uint64) uint64 {
	high, low := bits.Mul64(key^mixSeed, hash)
	return high ^ low
}
