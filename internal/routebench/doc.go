// Package routebench compares strategies for choosing an engine under the same
// workload.
//
// A simulation in virtual time passes a fixed sequence of requests to a Strategy
// and counts the results. The strategies call the decision functions that routers
// use: member.View, affinity.Search, affinity.Index and balance.LoadTracker.
package routebench
