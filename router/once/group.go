package once

import "cardamompoint.example/cardamompoint/rank"

// MaxGroupSize is the maximum number of routers that are asked for the clearance
// of one key.
const MaxGroupSize = 8

// quorumDivisor is the inverse of the fraction of a group that may be missing
// from a quorum: 4 means that one in four routers may be missing.
const quorumDivisor = 4

// Group returns the routers that decide on a key, in the key's order of
// rendezvous hashing.
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

// Quorum returns how many routers of a group of n must grant a key.
func Quorum(n int) int {
	return n - n/quorumDivisor
}

// QuorumsOverlap reports whether every quorum of group a shares a router with
// every quorum of group b.
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
