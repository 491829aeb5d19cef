// Package balance tracks the load in progress at endpoints and admits work
// within their caps.
//
// Each endpoint has one router, its home, that counts the endpoint's load. The
// home reserves capacity before work is sent and releases the reservation
// exactly once. A second router, the home's backup, admits work in the home's
// place while the home can't be reached.
package balance
