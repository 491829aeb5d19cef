// Package source reads what the platform publishes: configuration, the list
// of VMs and the weight store's limits.
//
// Each service is a small interface with one adapter. Nothing here writes.
package source
