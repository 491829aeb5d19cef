// Package loopback reserves loopback networks, so that several fleets can run on one machine at
// the same time.
package loopback

import (
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

// Range of the second octets of the reservable networks.
const (
	firstNetwork = 10
	networkCount = 240
)

// Network is a reserved loopback network.
type Network struct {
	// Prefix holds the first two octets of the network, separated by a dot.
	Prefix string

	lock net.Listener
}

// Reserve reserves a network that no other process has reserved and on which nothing listens:
// processes that outlive the one that reserved their network keep its addresses. Close releases
// it.
func Reserve() (*Network, error) {
	for i := range networkCount {
		prefix := fmt.Sprintf("127.%d", firstNetwork+(os.Getpid()+i)%networkCount)
		guard, err := net.Listen("tcp", prefix+".255.1:7999")
		if err != nil {
			continue
		}
		network := &Network{Prefix: prefix, lock: guard}
		if bound, err := network.Bound(); err == nil && len(bound) == 0 {
			return network, nil
		}
		_ = guard.Close()
	}
	return nil, eris.New("no loopback network is free")
}

// Close releases the network.
func (n *Network) Close() error {
	return n.lock.Close()
}
