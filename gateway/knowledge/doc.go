// Package knowledge keeps what the store publishes: the configuration in force
// and the endpoints, with the age of the last confirmed read.
//
// A Tracker applies changes in the order of their revisions and never goes back.
// A Reader feeds it from the store, and from other VMs while the store does not
// serve this one.
package knowledge
