package socket

import "net"

// IsSilent reports whether a connection is open and has no unread bytes, whatever its deadline. A
// connection that is no socket counts as silent.
func IsSilent(conn net.Conn) bool {
	_, silent := look(conn)
	return silent
}
