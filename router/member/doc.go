// Package member keeps a router's view of the fleet: the published list of VMs
// and what heartbeats tell of the other routers.
package member
