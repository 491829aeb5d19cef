package socket

import (
	"net"
	"syscall"
)

// IsSilent reports whether a connection is open and has no unread bytes, whatever its deadline. A
// connection that is no socket counts as silent.
func IsSilent(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) { _, silent = peek(fd) })
	return err == nil && silent
}
