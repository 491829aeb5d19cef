package gateway

import (
	"net/netip"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// ownAddresses holds the addresses at which the VMs and the store listen, so that no endpoint can.
type ownAddresses struct {
	store netip.AddrPort
	// ports are the ports that VMs listen on for callers, probes and control requests, firstPeer
	// and lastPeer those for each other.
	ports               map[uint16]bool
	firstPeer, lastPeer int
	// hosts are the IP addresses of this VM and of the seeds; members has those of the others.
	hosts   map[string]bool
	members *gossip.Table
}

// newOwnAddresses returns the addresses of the fleet of a VM with the given settings.
func newOwnAddresses(settings *traffic.Settings, members *gossip.Table) *ownAddresses {
	o := &ownAddresses{
		ports:     map[uint16]bool{},
		firstPeer: settings.FirstPeerPort,
		lastPeer:  settings.LastPeerPort,
		hosts:     map[string]bool{settings.IP: true},
		members:   members,
	}
	o.store, _ = netip.ParseAddrPort(settings.StoreAddress)
	for _, listen := range []string{settings.FrontAddress, settings.ReadyAddress, settings.ControlAddress} {
		if address, err := netip.ParseAddrPort(listen); err == nil {
			o.ports[address.Port()] = true
		}
	}
	for _, ip := range seedIPs(settings.Seeds) {
		o.hosts[ip] = true
	}
	return o
}

// contains reports whether a VM or the store listens at an address.
func (o *ownAddresses) contains(text string) bool {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return false
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if address == o.store {
		return true
	}
	port := int(address.Port())
	if !o.ports[address.Port()] && (port < o.firstPeer || port > o.lastPeer) {
		return false
	}
	host := address.Addr().String()
	return o.hosts[host] || o.members.Knows(host)
}
