// Package gateway implements the process between callers and endpoints on a platform that
// publishes configuration and endpoints in a store.
//
// The VM that receives a request selects an endpoint without asking other VMs and sends the
// request there directly. VMs only share hints about load, health and the locations of prompt parts, and they
// relay the contents of the store to VMs that can't reach it.
package gateway
