package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// acceptedConn counts the bytes of an accepted connection. What it carries is
// known with its first request: until then it counts for itself.
type acceptedConn struct {
	net.Conn

	mu     sync.Mutex
	before ByteCounter
	bytes  *ByteCounter
}

// CountedListener returns a listener whose connections can be counted by Count.
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
	accepted.bytes = &accepted.before
	return accepted, nil
}

func (c *acceptedConn) counter() *ByteCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

func (c *acceptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter().Received.Add(int64(n))
	return n, err
}

func (c *acceptedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter().Sent.Add(int64(n))
	return n, err
}

// countFor adds what was counted so far to bytes and goes on there.
func (c *acceptedConn) countFor(bytes *ByteCounter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes == bytes {
		return
	}
	bytes.Sent.Add(c.bytes.Sent.Load())
	bytes.Received.Add(c.bytes.Received.Load())
	c.bytes = bytes
}

type connKey struct{}

// ConnContext is for http.Server: it lets Count find the connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Count returns a handler that counts its requests' connections in bytes. A
// connection may carry only requests that are counted alike.
func CountBytes(bytes *ByteCounter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*acceptedConn); ok {
			conn.countFor(bytes)
		}
		next.ServeHTTP(w, r)
	})
}
