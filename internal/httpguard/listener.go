package httpguard

import "net"

// Listener guards all connections that it accepts.
type Listener struct {
	net.Listener
	// Limits returns the bounds in force; it is asked for each head and may be
	// called by many goroutines at once.
	Limits func() Limits
}

// Accept returns the next connection, guarded.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn, l.Limits), nil
}
