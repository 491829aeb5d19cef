package rank

import "github.com/cespare/xxhash/v2"

// Node is a candidate with its precomputed hash.
type Node struct {
	// ID names the node.
	ID string
	// Weight is the node's part of the keys. It must be above 0.
	Weight float64

	hash uint64
}

// NewNode returns a Node. A weight of 0 or less means 1.
func NewNode(id string, weight float64) Node {
	if weight <= 0 {
		weight = 1
	}
	return Node{ID: id, Weight: weight, hash: xxhash.Sum64String(id)}
}
