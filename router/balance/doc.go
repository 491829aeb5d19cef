// Package balance counts the load in progress at endpoints and admits work
// below their caps.
//
// One router, the home of an endpoint, keeps the endpoint's count. A
// reservation is made before work is sent and released exactly once.
package balance
