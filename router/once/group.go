package once

import "cardamompoint.example/cardamompoint/rank"

// GroupSize is the most routers that are asked for the clearance of one key.
const MaxGroupSize = 8

// quorumShare is the part of a group, one in so many, that may be missing.
const quorumShare = 4

// Group returns the routers that are asked about a key, in the key's
// rendezvous order.
func Group(key string, routers []string) []string {
	nodes := make([]rank.Node, len(routers))
	for i, router := range routers {
		nodes[i] = rank.NewNode(router, 1)
	}
	order := rank.Top(rank.Key(key), nodes, MaxGroupSize)
	group := make([]string, len(order))
	for i, index := range order {
		group[i] = routers[index]
	}
	return group
}

// Quorum returns how many of n routers have to yield a key.
func Quorum(n int) int {
	return n - n/quorumShare
}

// Overlap reports whether any quorum of group a shares a router with any
// quorum of group b.
func QuorumsOverlap(a, b []string) bool {
	union := map[string]bool{}
	for _, router := range a {
		union[router] = true
	}
	for _, router := range b {
		union[router] = true
	}
	return Quorum(len(a))+Quorum(len(b)) > len(union)
}
