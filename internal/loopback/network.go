// Package loopback reserves loopback networks, so that several fleets can run
// on one machine.
package loopback

import (
	"fmt"
	"net"
	"os"

	"github.com/rotisserie/eris"
)

// The second numbers of the networks that are reserved.
const (
	firstNetwork = 10
	networkCount = 240
)

// Network is a reserved loopback network.
type Network struct {
	// Prefix is the network's first two numbers with a dot between them.
	Prefix string

	lock net.Listener
}

// Reserve returns a network that no other process has reserved. Close gives it
// back.
func Reserve() (*Network, error) {
	for i := range networkCount {
		prefix := fmt.Sprintf("127.%d", firstNetwork+(os.Getpid()+i)%networkCount)
		guard, err := net.Listen("tcp", prefix+".255.1:7999")
		if err == nil {
			return &Network{Prefix: prefix, lock: guard}, nil
		}
	}
	return nil, eris.New("no loopback network is free")
}

// Close gives the network back.
func (n *Network) Close() error {
	return n.lock.Close()
}
