package upstream

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// patientReader reads from a connection, and lets onTimeout decide whether a read goes on after its
// deadline.
type patientReader struct {
	conn      net.Conn
	onTimeout TimeoutFunc
}

// TimeoutFunc is called when a read has reached its deadline without a byte. It returns the next
// deadline, or the zero time if the read must fail. arrived reports whether bytes can be read all
// the same, because the process was too late to read them.
type TimeoutFunc func(arrived bool) time.Time

// Read implements io.Reader.
func (r *patientReader) Read(p []byte) (int, error) {
	for {
		count, err := r.conn.Read(p)
		if count > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		next := r.onTimeout(!isSilent(r.conn))
		if next.IsZero() || r.conn.SetReadDeadline(next) != nil {
			return count, err
		}
	}
}

// isSilent reports whether a connection is open and has no unread bytes, whatever its deadline.
func isSilent(conn net.Conn) bool {
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
