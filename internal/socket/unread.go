package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether a connection has unread bytes. A connection that is no
// socket counts as having none.
func HasUnread(conn net.Conn) bool {
	unread, _ := look(conn)
	return unread
}

// AwaitPeer waits until bytes arrive on a connection, its peer closes it, or its read deadline
// passes. It reads nothing.
func AwaitPeer(conn net.Conn) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	// The error is that of the deadline, or of a connection that is closed already.
	_ = raw.Read(func(fd uintptr) bool {
		_, silent := peek(fd)
		return !silent
	})
}

// control calls f with the descriptor of a connection. isSocket is false if it has none.
func control(conn net.Conn, f func(fd uintptr)) (isSocket bool, err error) {
	system, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false, nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, raw.Control(f)
}

// look reports whether a connection has unread bytes, and whether it is open without any. One that is no
// socket has none and is open.
func look(conn net.Conn) (unread, silent bool) {
	isSocket, err := control(conn, func(fd uintptr) { unread, silent = peek(fd) })
	if !isSocket {
		return false, true
	}
	return err == nil && unread, err == nil && silent
}

// peek reports whether a socket has unread bytes, and whether it is open without any. It leaves the error of a
// connection that broke to the next read.
func peek(fd uintptr) (unread, silent bool) {
	ready, err := isReady(fd, unix.POLLIN|unix.POLLRDHUP)
	if err != nil || !ready {
		return false, err == nil
	}
	size, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	return err == nil && size > 0, false
}

// isReady reports whether one of the given events, an error or the end of both sides has occurred on a socket.
func isReady(fd uintptr, events int16) (bool, error) {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		count, err := unix.Poll(polled, 0)
		if err != unix.EINTR {
			return count > 0, err
		}
	}
}
