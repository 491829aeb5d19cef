package socket

import "net"

// Conn is a connection whose Read returns io.EOF only if the peer has closed its side in order, also while a write is
// in progress.
type Conn struct {
	net.Conn
	writer *Writer
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, writer: NewWriter(conn)}
}

// Read implements net.Conn. It returns the error by which the connection broke also if a write got that. At the end
// it ends a write in progress.
func (c *Conn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	return count, c.writer.ReadError(err)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	return c.writer.Write(p)
}
