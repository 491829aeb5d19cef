package router

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// memoryNetwork connects the routers of one test in memory, with a delay for each
// write. Connections can be cut.
type memoryNetwork struct {
	delay time.Duration

	mu        sync.Mutex
	listeners map[string]*memoryListener
	links     map[*memoryLink]bool
	cut       func(from, to string) bool
}

// memoryLink is an open connection.
type memoryLink struct {
	from, to string
	ends     [2]net.Conn
}

func newMemoryNetwork(delay time.Duration) *memoryNetwork {
	return &memoryNetwork{delay: delay, listeners: map[string]*memoryListener{}, links: map[*memoryLink]bool{}}
}

var errCut = &net.OpError{Op: "dial", Err: errors.New("the network is cut")}

// setCut closes the connections for which cut reports true and refuses new ones;
// nil ends the cut.
func (n *memoryNetwork) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for link := range n.links {
		if cut != nil && cut(link.from, link.to) {
			link.ends[0].Close()
			link.ends[1].Close()
			delete(n.links, link)
		}
	}
}

// at returns the network as seen by the router with the given address.
func (n *memoryNetwork) at(address string) *memoryPort {
	return &memoryPort{network: n, address: address}
}

// memoryPort implements Network for one router.
type memoryPort struct {
	network *memoryNetwork
	address string
}

// Listen implements Network.
func (p *memoryPort) Listen(address string) (net.Listener, error) {
	listener := &memoryListener{network: p.network, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.listeners[address] = listener
	return listener, nil
}

// Dial implements Network.
func (p *memoryPort) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := p.network
	n.mu.Lock()
	listener, ok := n.listeners[address]
	cut := n.cut != nil && n.cut(p.address, address)
	n.mu.Unlock()
	if !ok || cut {
		return nil, errCut
	}
	near, far := net.Pipe()
	link := &memoryLink{from: p.address, to: address, ends: [2]net.Conn{near, far}}
	n.mu.Lock()
	n.links[link] = true
	n.mu.Unlock()
	select {
	case listener.accepted <- &delayedConn{far, n.delay}:
		return &delayedConn{near, n.delay}, nil
	case <-listener.closed:
		return nil, errCut
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// delayedConn delays each write.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// memoryListener implements net.Listener.
type memoryListener struct {
	network  *memoryNetwork
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
