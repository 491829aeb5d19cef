// Package reuse keeps for how long connections to endpoints may be idle before the next request goes
// on them, as learned from endpoints that reset idle connections. It has no clock and no network.
//
// An endpoint, or something on the way to it, may forget connections without notice and reset them
// with the next request. A request that was sent on one may have run, so one that may run only once
// fails. Resets of one endpoint concern its own connections; resets of several endpoints of a service
// concern the requests to all of the service that must not fail. Reports carry the resets to other VMs.
package reuse
