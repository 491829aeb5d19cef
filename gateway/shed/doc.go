// Package shed decides which requests a VM refuses while the endpoints of a service
// turn requests away.
//
// Endpoints that are full refuse whatever comes next. Without more, the share of
// requests that is served is then the same for all: urgent ones, and those of a
// workspace that sends little, are lost as often as the requests that fill the
// endpoints. A Shedder refuses about as many, and lets the least urgent ones of the
// workspaces that use most go first. No VM asks another one: the balancer gives each
// about the same mix.
package shed
