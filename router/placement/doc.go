// Package placement decides which models each engine should have loaded.
//
// The decision depends only on the published configuration, the list of VMs and
// the replica counts, so that all routers compute the same placement from the
// same input. Within the published bounds, the number of loaded replicas of a
// model follows its load.
package placement
