package upstream

import (
	"errors"
	"net"
	"os"
	"time"

	"cardamompoint.example/cardamompoint/internal/socket"
)

// patientReader reads from a connection, and lets onTimeout decide whether a read goes on after its
// deadline.
type patientReader struct {
	conn      net.Conn
	onTimeout TimeoutFunc
	// received reports whether a byte was read since it was last set to false.
	received bool
}

// TimeoutFunc is called when a read has reached its deadline without a byte. It returns the next
// deadline, or the zero time if the read must fail. arrived reports whether bytes can be read all
// the same, because the process was too late to read them.
type TimeoutFunc func(arrived bool) time.Time

// Read implements io.Reader.
func (r *patientReader) Read(p []byte) (int, error) {
	for {
		count, err := r.conn.Read(p)
		r.received = r.received || count > 0
		if count > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		next := r.onTimeout(!socket.IsSilent(r.conn))
		if next.IsZero() || r.conn.SetReadDeadline(next) != nil {
			return count, err
		}
	}
}
