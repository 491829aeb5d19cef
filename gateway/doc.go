// Package gateway is the process between callers and endpoints on a platform
// that publishes configuration and endpoints in a store.
//
// The VM that reads a request decides alone where it goes and sends it itself.
// What VMs share are hints about load, health and prompt places, and the
// freshness of their knowledge while the store does not serve all of them.
package gateway
