package rank

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key returns the hash of a key's parts.
func Key(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		digest.WriteString(part)
		digest.Write([]byte{0})
	}
	return digest.Sum64()
}

type scored struct {
	index int
	score float64
}

// Top returns the indexes of the first limit nodes for key, best first. A
// limit of 0 or less means all.
func Top(key uint64, nodes []Node, limit int) []int {
	if limit <= 0 || limit > len(nodes) {
		limit = len(nodes)
	}
	best := make([]scored, 0, limit+1)
	for i := range nodes {
		score := nodes[i].score(key)
		if len(best) == limit && score >= best[limit-1].score {
			continue
		}
		best = insert(best, scored{i, score}, limit)
	}
	indexes := make([]int, len(best))
	for i, entry := range best {
		indexes[i] = entry.index
	}
	return indexes
}

func insert(best []scored, entry scored, limit int) []scored {
	at, _ := slices.BinarySearchFunc(best, entry.score, func(e scored, score float64) int {
		if e.score < score {
			return -1
		}
		return 1
	})
	best = slices.Insert(best, at, entry)
	if len(best) > limit {
		best = best[:limit]
	}
	return best
}

// score is exponentially distributed with the node's weight as rate; the node
// with the least score wins a part of the keys in proportion to its weight.
func (n *Node) score(key uint64) float64 {
	const unit = 1.0 / (1 << 53)
	uniform := (float64(mix(key^n.hash)>>11) + 0.5) * unit
	return -math.Log(uniform) / n.Weight
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
