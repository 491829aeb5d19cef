// Package source reads what the platform publishes: the configuration and the list
// of VMs.
//
// Each service is a small interface with one client. Nothing in this package writes
// to the platform.
package source
