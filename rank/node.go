package rank

import "github.com/cespare/xxhash/v2"

// Node is a node to rank, with its precomputed hash.
type Node struct {
	// ID identifies the node. Its hash determines the node's rank for each key.
	ID string
	// Weight is the node's share of the keys, relative to the weights of the other nodes.
	// It must be above 0.
	Weight float64

	hash uint64
}

// NewNode returns a Node with the given weight. A weight of 0 or less means 1.
func NewNode(id string, weight float64) Node {
	if weight <= 0 {
		weight = 1
	}
	return Node{ID: id, Weight: weight, hash: xxhash.Sum64String(id)}
}
