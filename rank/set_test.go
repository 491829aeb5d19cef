package rank

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newTestNodes returns count nodes, which have the weights in turn.
func newTestNodes(count int, weights ...float64) []Node {
	nodes := make([]Node, count)
	for i := range nodes {
		nodes[i] = NewNode(fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), weights[i%len(weights)])
	}
	return nodes
}

// referenceTop is a simple implementation of Top that sorts all nodes by their scores.
func referenceTop(key uint64, nodes []Node, limit int) []int {
	indexes := make([]int, len(nodes))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortFunc(indexes, func(a, b int) int {
		return cmp.Compare(score(mix(key, nodes[a].hash), nodes[a].Weight), score(mix(key, nodes[b].hash), nodes[b].Weight))
	})
	return indexes[:min(limit, len(nodes))]
}

func TestAppendTopIsTheOrderOfScores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0.25, 1, 1, 2, 8}), 1, 7).Draw(t, "weights")
		nodes := newTestNodes(rapid.IntRange(0, 200).Draw(t, "count"), weights...)
		limit := rapid.IntRange(1, 200).Draw(t, "limit")
		key := rapid.Uint64().Draw(t, "key")
		got := NewSet(nodes).AppendTop(nil, key, limit)
		if want := referenceTop(key, nodes, limit); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestLeavingNodeMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newTestNodes(rapid.IntRange(2, 60).Draw(t, "count"), 1, 1, 4)
		gone := rapid.IntRange(0, len(nodes)-1).Draw(t, "gone")
		key := rapid.Uint64().Draw(t, "key")
		left := slices.Delete(slices.Clone(nodes), gone, gone+1)
		var before, after []string
		for _, i := range Top(key, nodes, 0) {
			if i != gone {
				before = append(before, nodes[i].ID)
			}
		}
		for _, i := range Top(key, left, 0) {
			after = append(after, left[i].ID)
		}
		if !slices.Equal(before, after) {
			t.Fatalf("the order of the others changed from %v to %v", before, after)
		}
	})
}

func TestKeysFollowTheWeights(t *testing.T) {
	const keys = 40000
	nodes := newTestNodes(10, 1, 3)
	set := NewSet(nodes)
	heavy := 0
	for i := range keys {
		first := set.AppendTop(nil, Key(fmt.Sprint("chat-", i)), 1)[0]
		if nodes[first].Weight == 3 {
			heavy++
		}
	}
	// Six standard deviations of the share 0.75 are 0.013.
	if share := float64(heavy) / keys; share < 0.737 || share > 0.763 {
		t.Errorf("nodes with 3/4 of the weight got %.3f of the keys", share)
	}
}

// TestSecondChoicesAreSpreadEvenly checks that the draws of two nodes are independent, so
// that the keys of a lost node are spread evenly over all others.
func TestSecondChoicesAreSpreadEvenly(t *testing.T) {
	const count, keys = 20, 200000
	set := NewSet(newTestNodes(count, 1))
	var pairs [count][count]float64
	for i := range keys {
		top := set.AppendTop(nil, Key("outlet", fmt.Sprint("chat-", i)), 2)
		pairs[top[0]][top[1]]++
	}
	const cells = count * (count - 1)
	expected, chiSquare := float64(keys)/cells, 0.0
	for first := range count {
		for second := range count {
			if first != second {
				chiSquare += (pairs[first][second] - expected) * (pairs[first][second] - expected) / expected
			}
		}
	}
	// The mean is 379 and the standard deviation 27.5; the bound is five of them.
	if chiSquare > 517 {
		t.Errorf("chi square %.0f over %d pairs", chiSquare, cells)
	}
}

func TestAppendTopAllocatesNothing(t *testing.T) {
	for _, weights := range [][]float64{{1}, {1, 2, 4}} {
		set := NewSet(newTestNodes(12000, weights...))
		dst := make([]int, 0, stackLimit)
		allocations := testing.AllocsPerRun(20, func() {
			dst = set.AppendTop(dst[:0], Key("workspace", "chat"), stackLimit)
		})
		if allocations != 0 {
			t.Errorf("weights %v: %v allocations", weights, allocations)
		}
	}
}

func BenchmarkAppendTop(b *testing.B) {
	for _, count := range []int{20, 1000, 12000} {
		for _, weights := range [][]float64{{1}, {1, 2, 4}} {
			b.Run(fmt.Sprintf("nodes=%d/weights=%d", count, len(weights)), func(b *testing.B) {
				set := NewSet(newTestNodes(count, weights...))
				dst := make([]int, 0, stackLimit)
				key := Key("workspace", "chat")
				b.ReportAllocs()
				for b.Loop() {
					key = mix(key, ^key)
					dst = set.AppendTop(dst[:0], key, stackLimit)
				}
			})
		}
	}
}
