// Package member tracks fleet membership: the published list of VMs and the state
// of the other routers, which spreads by SWIM-style heartbeats, probes and
// suspicions.
package member
