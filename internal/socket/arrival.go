package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceArrival returns how long ago the last bytes arrived on a TCP connection, read or unread. ok is false if
// the system does not tell.
func SinceArrival(conn net.Conn) (age time.Duration, ok bool) {
	system, isSystem := conn.(syscall.Conn)
	if !isSystem {
		return 0, false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if ok = infoErr == nil; ok {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age, ok && err == nil
}
