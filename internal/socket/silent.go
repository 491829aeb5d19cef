package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = failed == unix.EAGAIN
	})
	return err == nil && silent
}
