package gateway

import (
	"net"
	"net/http"
	"sync"

	"cardamompoint.example/cardamompoint/internal/httpguard"
	"cardamompoint.example/cardamompoint/internal/socket"
)

// openConns is the set of callers' connections that are open. It is safe for concurrent use.
type openConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// stateChanged must be called with each state change of a connection.
func (o *openConns) stateChanged(conn net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.conns[conn] = struct{}{}
	case http.StateClosed:
		delete(o.conns, conn)
	}
}

// count returns the number of open connections.
func (o *openConns) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns)
}

// countUnread returns the number of open connections with unread bytes.
func (o *openConns) countUnread() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for conn := range o.conns {
		if socket.HasUnread(conn.(*httpguard.Conn).Conn) {
			count++
		}
	}
	return count
}
