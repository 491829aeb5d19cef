package router

import (
	"context"
	"net"
)

// Network opens and accepts connections. Tests replace it by one in memory.
type Network interface {
	// Listen accepts connections at address.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection, as net.Dialer.DialContext does.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}
