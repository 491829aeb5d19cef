package router

import (
	"context"
	"net"
)

// Network opens and accepts connections. Tests replace it with an in-memory
// implementation.
type Network interface {
	// Listen returns a listener for address.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection, like net.Dialer.DialContext.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}
