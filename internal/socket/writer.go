package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Writer writes to a connection and keeps the error by which that broke. The system returns the error of a
// reset once: if a write gets it, a concurrent read sees only the end of the connection, as if the peer had closed it.
// It is safe for concurrent use.
type Writer struct {
	conn net.Conn
	// mu is held during a write.
	mu     sync.Mutex
	broken error
}

// NewWriter returns a Writer for a connection to which nothing else writes.
func NewWriter(conn net.Conn) *Writer {
	return &Writer{conn: conn}
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	count, err := w.WriteAll(net.Buffers{p})
	return int(count), err
}

// WriteAll writes the given buffers. An error means that a part of them was not written.
func (w *Writer) WriteAll(buffers net.Buffers) (written int64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	written, err = buffers.WriteTo(w.conn)
	if breaks(err) {
		w.broken = err
	}
	return written, err
}

// longPast is a deadline that ends an operation in progress.
var longPast = time.Unix(1, 0)

// ReadError returns the error of a read of the connection. In place of io.EOF that is the error by which the connection
// broke if a write got that. At the end of the connection it ends a write in progress.
func (w *Writer) ReadError(err error) error {
	if err != io.EOF {
		return err
	}
	_ = w.conn.SetWriteDeadline(longPast) // It fails only if the connection is closed, which ends the write too.
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken != nil {
		return w.broken
	}
	return io.EOF
}

// breaks reports whether a write failed with the error of a connection that broke, and not with a later one: that of
// a deadline, a connection that is closed here, or one whose peer closed it in order before.
func breaks(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE)
}
