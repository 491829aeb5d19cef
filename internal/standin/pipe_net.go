package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
)

// PipeNet is a network of unbuffered in-memory connections, for tests in virtual time. It is
// safe for concurrent use.
type PipeNet struct {
	// Dials is the number of opened connections.
	Dials atomic.Int64

	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// NewPipeNet returns a PipeNet without listeners.
func NewPipeNet() *PipeNet {
	return &PipeNet{listeners: map[string]*pipeListener{}}
}

// Listen returns a listener for the address. After the listener is closed, the address refuses
// connections.
func (n *PipeNet) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{net: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Serve serves handler at the address. stop shuts the server down and closes its connections.
func (n *PipeNet) Serve(address string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler}
	listener := n.Listen(address)
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(listener)
	}()
	return func() {
		server.Close()
		<-done
	}
}

// Dial connects to the address.
func (n *PipeNet) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		n.Dials.Add(1)
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
}

// Transport returns an HTTP transport that connects through the network.
func (n *PipeNet) Transport() *http.Transport {
	return &http.Transport{DialContext: n.Dial, DisableCompression: true}
}

// pipeListener is a listener of a PipeNet.
type pipeListener struct {
	net     *PipeNet
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr {
	return pipeAddr(l.address)
}

// pipeAddr is an address on a PipeNet.
type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }
