// Package placement decides what each engine should have loaded.
//
// The decision is a function of what is published and of the list of VMs, so
// that every router comes to the same result. Within the published bounds the
// number of loaded replicas follows the load.
package placement
