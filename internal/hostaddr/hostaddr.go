// Package hostaddr checks the published addresses of endpoints and VMs.
package hostaddr

import "net/netip"

// broadcast is the address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// IsValid reports whether text is an IP address with a port at which every VM can reach the same
// host: no name, no address of many hosts, and no zone, which has a meaning on one VM alone.
func IsValid(text string) bool {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return false
	}
	ip := address.Addr().Unmap()
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && ip != broadcast
}
