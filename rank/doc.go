// Package rank orders nodes for a key by weighted rendezvous hashing.
//
// The relative order of two nodes for a key depends on these two alone, so a node that
// joins or leaves moves only the keys that it gains or loses.
package rank
