// Package choice selects the endpoint for a request. It weighs the work in progress
// that this VM and its peers have at each endpoint, which endpoints hold parts of the
// prompt in their prefix cache, and the recent failures of each endpoint.
//
// The package reads no clock and does no I/O; callers pass the time in.
package choice
