package httpguard

import "net"

// Listener guards all connections that it accepts.
type Listener struct {
	net.Listener
	// HeadLimit bounds a request head, in bytes. A longer one is passed on
	// unchecked up to the limit and no further, for net/http to refuse.
	HeadLimit int
}

// Accept returns the next connection, guarded.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn, l.HeadLimit), nil
}
