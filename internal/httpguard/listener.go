package httpguard

import "net"

// Listener guards all connections that it accepts.
type Listener struct {
	net.Listener
	// Limits returns the limits in force. It is called for each head, concurrently by
	// several goroutines.
	Limits func() Limits
	// OnClose, if not nil, is called when a connection is closed. It must not use the connection.
	OnClose func(*Conn, Closure)
}

// Accept waits for the next connection and returns it as a guarded Conn.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	guarded := NewConn(conn, l.Limits)
	guarded.OnClose = l.OnClose
	return guarded, nil
}
