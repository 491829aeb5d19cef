// Package gossip implements the gossip protocol of the gateways. VMs exchange small UDP
// reports on which VMs are alive, how recent each VM's knowledge of the store is,
// and how much work each VM has in progress at which endpoint.
//
// Reports are hints: one that is lost, late or duplicated makes load balancing
// less even for a moment but never affects correctness.
package gossip
