// Package estimate estimates how well each endpoint serves, from the outcomes of the
// requests of all VMs. It answers the load of endpoints that fail a part of their requests,
// or have turned slow, while they look healthy: one VM alone sees too few requests to tell.
//
// The package reads no clock and does no I/O; callers pass the time in. Its types are not
// safe for concurrent use.
package estimate
