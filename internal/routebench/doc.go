// Package routebench compares ways to choose an engine on the same work.
//
// A loop over virtual time hands one fixed sequence of requests to a Way and
// counts what comes of it. The ways call the decision functions that routers
// use: member.View, affinity.Search, affinity.Index and balance.LoadTracker.
package routebench
