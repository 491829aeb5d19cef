package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// acceptedConn counts the bytes of an accepted connection. Which counter they
// belong to is known only with the first request; until then they are kept in a
// counter of its own.
type acceptedConn struct {
	net.Conn

	mu sync.Mutex
	// unassigned counts the bytes before the first request.
	unassigned ByteCounter
	// bytes is the counter in use.
	bytes *ByteCounter
}

// CountingListener returns a listener whose connections CountBytes can assign to a
// counter.
func CountingListener(inner net.Listener) net.Listener {
	return &countedListener{Listener: inner}
}

type countedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &acceptedConn{Conn: conn}
	accepted.bytes = &accepted.unassigned
	return accepted, nil
}

// currentCounter returns the counter in use.
func (c *acceptedConn) currentCounter() *ByteCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
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
	if c.bytes == counter {
		return
	}
	counter.Sent.Add(c.bytes.Sent.Load())
	counter.Received.Add(c.bytes.Received.Load())
	c.bytes = counter
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is meant for http.Server.ConnContext: it makes the connection
// available to CountBytes.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CountBytes returns a handler that counts the bytes of its requests' connections
// in bytes. All requests on one connection must use the same counter.
func CountBytes(counter *ByteCounter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*acceptedConn); ok {
			conn.assignTo(counter)
		}
		next.ServeHTTP(w, r)
	})
}
