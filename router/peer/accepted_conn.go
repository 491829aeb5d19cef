package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// acceptedConn counts the bytes of an accepted connection. The first request
// determines the counter that they belong to; until then they are counted in
// unassigned.
type acceptedConn struct {
	net.Conn

	mu sync.Mutex
	// unassigned counts the bytes before the first request.
	unassigned ByteCounter
	// counter is the counter in use.
	counter *ByteCounter
}

// CountingListener returns a listener whose connections CountBytes can assign to a
// counter.
func CountingListener(inner net.Listener) net.Listener {
	return &countingListener{Listener: inner}
}

type countingListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &acceptedConn{Conn: conn}
	accepted.counter = &accepted.unassigned
	return accepted, nil
}

// currentCounter returns the counter in use.
func (c *acceptedConn) currentCounter() *ByteCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter
}

func (c *acceptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.currentCounter().Received.Add(int64(n))
	return n, err
}

func (c *acceptedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.currentCounter().Sent.Add(int64(n))
	return n, err
}

// assignTo adds the bytes counted so far to counter and counts there from now on.
func (c *acceptedConn) assignTo(counter *ByteCounter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counter == counter {
		return
	}
	counter.Sent.Add(c.counter.Sent.Load())
	counter.Received.Add(c.counter.Received.Load())
	c.counter = counter
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is meant for http.Server.ConnContext: it makes the connection
// available to CountBytes.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CountBytes returns a handler that counts the bytes of its requests' connections
// in counter. All requests on one connection must use the same counter.
func CountBytes(counter *ByteCounter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*acceptedConn); ok {
			conn.assignTo(counter)
		}
		next.ServeHTTP(w, r)
	})
}
