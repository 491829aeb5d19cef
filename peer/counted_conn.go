package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Bytes counts the bytes of connections, headers included.
type Bytes struct {
	// Sent is the number of bytes written.
	Sent atomic.Int64
	// Received is the number of bytes read.
	Received atomic.Int64
}

// Total returns the sum of both directions.
func (b *Bytes) Total() int64 {
	return b.Sent.Load() + b.Received.Load()
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	bytes *Bytes
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Sent.Add(int64(n))
	return n, err
}

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	idleConnections = 4
)

// NewTransport returns a transport that counts its bytes in bytes, which may
// be nil.
func NewTransport(bytes *Bytes) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil || bytes == nil {
				return conn, err
			}
			return &countedConn{Conn: conn, bytes: bytes}, nil
		},
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
