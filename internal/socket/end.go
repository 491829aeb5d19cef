package socket

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasEnded reports whether the peer of a connection has closed it, or its sending half, or the connection
// broke, also if unread bytes lie before the end. It reads nothing. A connection that is no socket counts
// as open.
func HasEnded(conn net.Conn) bool {
	ended := false
	_, err := control(conn, func(fd uintptr) { ended = hasEnded(fd) })
	return err != nil || ended
}

// AwaitEnd waits until HasEnded is true, and then returns io.EOF. If the read deadline passes before, or the
// connection is closed, it returns the error of a read. The connection must be a socket.
func AwaitEnd(conn net.Conn) error {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	if err := raw.Read(hasEnded); err != nil {
		return err
	}
	return io.EOF
}

// hasEnded reports whether the peer of a socket has ended it, or it broke.
func hasEnded(fd uintptr) bool {
	unread, silent := peek(fd)
	if !unread {
		return !silent
	}
	ended, err := isReady(fd, unix.POLLRDHUP)
	return err == nil && ended
}
