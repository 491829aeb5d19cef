package httpguard

import "net"

// Listener guards all connections that it accepts.
type Listener struct {
	net.Listener
	// Limits returns the limits in force. It is called for each head, concurrently by
	// several goroutines.
	Limits func() Limits
}

// Accept waits for the next connection and returns it as a guarded Conn.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn, l.Limits), nil
}
