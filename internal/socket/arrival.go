package socket

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SinceArrival returns how long ago the last bytes arrived on a TCP connection, read or unread. ok is false if
// the system does not tell.
func SinceArrival(conn net.Conn) (age time.Duration, ok bool) {
	_, err := control(conn, func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if ok = infoErr == nil; ok {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age, ok && err == nil
}
