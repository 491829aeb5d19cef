package peer

import (
	"net"
	"sync/atomic"
)

// ByteCounter counts the bytes of connections, including headers.
type ByteCounter struct {
	// Sent is the number of bytes written.
	Sent atomic.Int64
	// Received is the number of bytes read.
	Received atomic.Int64
}

// Total returns the number of bytes in both directions.
func (b *ByteCounter) Total() int64 {
	return b.Sent.Load() + b.Received.Load()
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counter *ByteCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(int64(n))
	return n, err
}
