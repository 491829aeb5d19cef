package httpguard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/socket"
)

// ErrMalformedBody is returned by Conn.Read if a chunked body is malformed.
var ErrMalformedBody = errors.New("malformed chunked request body")

// invalidHead is what net/http reads in place of a malformed head. It responds with
// status 400 and closes the connection.
const invalidHead = "\x00\r\n\r\n"

// MaxHeadBytes is the largest limit of a request head. Servers must use it as their
// MaxHeaderBytes.
const MaxHeadBytes = 128 << 10

// oversizedHead is what net/http reads in place of a head above the limit. It responds
// with status 431 and closes the connection. net/http allows 4096 bytes more than
// MaxHeadBytes.
var oversizedHead = "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeadBytes+8192)

// readSize is the size of one read from the connection, in bytes.
const readSize = 4096

// readBuffers are the read buffers that all connections share.
var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// Conn validates the requests that are read from a connection. It must not be read by
// several goroutines at the same time.
type Conn struct {
	net.Conn
	// limits returns the limits in force. It is called for each head.
	limits func() Limits
	// headTimer closes the connection if a head takes too long. It is nil unless a head
	// is incomplete and the request before it has been served.
	headTimer *time.Timer
	// claim keeps the connection open while a request is served.
	claim claim
	// serving reports whether a head was passed on since the last response.
	serving atomic.Bool
	// receiving reports whether bytes were read since the last response, responded whether bytes
	// were written since then.
	receiving atomic.Bool
	responded atomic.Bool
	// OnClose, if not nil, is called when the connection is closed. It must be set before the
	// connection is used and must not use the connection.
	OnClose func(*Conn, Closure)

	// pending are bytes that were read and not validated yet, ready those that may be
	// passed on.
	pending []byte
	ready   []byte
	// readyBuffer is the buffer behind ready, which is reused.
	readyBuffer []byte
	// arrived is when the first bytes of the current request had arrived, as far as the system tells;
	// lastArrived is that of the bytes that were read last.
	arrived     clock.Boot
	lastArrived clock.Boot
	// body is the framing of the current request's body.
	body body
	// endErr is the error that Read returns after ready; nil while the connection goes on.
	endErr error
}

// NewConn returns a guarded connection. limits is called for each head.
func NewConn(conn net.Conn, limits func() Limits) *Conn {
	return &Conn{Conn: conn, limits: limits}
}

// Read returns validated bytes only.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.inBody() {
		return c.readBody(p)
	}
	for len(c.ready) == 0 {
		if c.endErr != nil {
			return 0, c.endErr
		}
		if c.awaitsEnd() {
			return 0, c.awaitEnd()
		}
		c.check()
		if len(c.ready) > 0 || c.endErr != nil {
			continue
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	count := copy(p, c.ready)
	c.ready = c.ready[count:]
	return count, nil
}

// inBody reports whether the next bytes to read belong to a body of known length.
func (c *Conn) inBody() bool {
	return len(c.ready) == 0 && len(c.pending) == 0 && c.endErr == nil && !c.body.chunked && c.body.remaining > 0
}

// awaitsEnd reports whether the current request has been read and not been answered. net/http then reads only to
// notice that the caller leaves, and stops looking at the first byte that it gets.
func (c *Conn) awaitsEnd() bool {
	_, isSocket := c.Conn.(syscall.Conn)
	return isSocket && c.serving.Load() && c.body.done()
}

// awaitEnd waits until the caller leaves, and leaves bytes of the next request unread. It returns an error.
func (c *Conn) awaitEnd() error {
	_, err := c.receiveWith(func() (int, error) { return 0, socket.AwaitEnd(c.Conn) })
	return err
}

// readBody reads once from the connection into p, at most to the end of the body.
func (c *Conn) readBody(p []byte) (int, error) {
	count, err := c.receive(p[:min(len(p), c.body.remaining)])
	c.body.remaining -= count
	return count, err
}

// fill reads once from the connection into pending. Bytes read before an error are kept,
// so that a read may be repeated after a timeout.
func (c *Conn) fill() error {
	buffer := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buffer)
	count, err := c.receive(buffer[:])
	c.pending = append(c.pending, buffer[:count]...)
	if count > 0 {
		c.recordArrival()
		c.receiving.Store(true)
		return nil
	}
	return err
}

// recordArrival records when the bytes that were just read had arrived.
func (c *Conn) recordArrival() {
	unread, _ := socket.SinceArrival(c.Conn) // Where the system does not tell, they count as just arrived.
	c.lastArrived = clock.Now().Add(-unread)
	if !c.receiving.Load() {
		c.arrived = c.lastArrived
	}
}

// Arrived returns when the first bytes of the current request arrived. If more bytes came before these were
// read, it is when the last of them did. It must be called between Claim and Release.
func (c *Conn) Arrived() clock.Boot {
	return c.arrived
}

// Write writes a part of a response.
func (c *Conn) Write(p []byte) (int, error) {
	c.responded.Store(true)
	return c.Conn.Write(p)
}

// CallerLeft reports whether the caller has closed the connection, or its sending half. It looks at the socket,
// so the result may be ahead of the request's context, which net/http cancels in another goroutine.
func (c *Conn) CallerLeft() bool {
	left := socket.HasEnded(c.Conn)
	if left {
		c.setReason(ClosedByCaller)
	}
	return left
}

// IsQuiet reports whether no byte of the next request has arrived, read or unread.
func (c *Conn) IsQuiet() bool {
	return !c.receiving.Load() && socket.IsSilent(c.Conn)
}

// check moves validated bytes from pending to ready.
func (c *Conn) check() {
	if len(c.pending) == 0 {
		return
	}
	if !c.body.done() {
		c.checkBody()
		return
	}
	c.checkHead()
}

// checkBody moves bytes of the body to ready.
func (c *Conn) checkBody() {
	count, err := c.body.consume(c.pending)
	c.release(count)
	if err != nil {
		c.endErr = err
	}
}

// checkHead moves a head to ready if it is complete and well-formed, and starts the timer
// if it is incomplete.
func (c *Conn) checkHead() {
	limits := c.limits()
	end := headEnd(c.pending)
	if isOverlong(c.pending, end, limits.HeadBytes) {
		c.rejectWith(oversizedHead)
		return
	}
	if end < 0 {
		c.startTimer(limits.HeadTimeout)
		return
	}
	if !c.stopTimer() {
		c.endErr = net.ErrClosed
		return
	}
	next, err := parseHead(c.pending[:end])
	if err != nil {
		c.rejectWith(invalidHead)
		return
	}
	c.release(end)
	c.body = next
	c.serving.Store(true)
}

// isOverlong reports whether the request line or the header lines of a head are longer
// than limit. A negative end means that data is the start of an incomplete head.
func isOverlong(data []byte, end, limit int) bool {
	if end < 0 {
		end = len(data)
	}
	line := bytes.IndexByte(data[:end], '\n') + 1
	return line > limit || end-line > limit
}

// startTimer starts the timer of a head unless it is running or a request is being served. A
// limit of 0 means none.
func (c *Conn) startTimer(limit time.Duration) {
	if c.headTimer == nil && limit > 0 && !c.claimed() {
		c.headTimer = time.AfterFunc(limit, func() { c.closeFor(ClosedSlowHead) })
	}
}

// stopTimer stops the timer of a head. It returns false if the timer has expired, so that
// the connection is being closed.
func (c *Conn) stopTimer() bool {
	if c.headTimer == nil {
		return true
	}
	stopped := c.headTimer.Stop()
	c.headTimer = nil
	return stopped
}

// rejectWith ends the connection with a head that net/http rejects.
func (c *Conn) rejectWith(head string) {
	c.stopTimer()
	c.setReason(ClosedRefusedHead)
	c.pending = nil
	c.ready = []byte(head)
	c.endErr = io.EOF
}

// release moves the first count bytes of pending to ready, which must be empty.
func (c *Conn) release(count int) {
	c.readyBuffer = append(c.readyBuffer[:0], c.pending[:count]...)
	c.ready = c.readyBuffer
	c.pending = append(c.pending[:0], c.pending[count:]...)
}

// headEnd returns the length of the head at the start of data, or -1 if it is incomplete.
// An empty line ends it, whether or not it has a CR.
func headEnd(data []byte) int {
	for at := 0; ; {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return -1
		}
		line := data[at : at+next]
		at += next + 1
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return at
		}
	}
}

// CloseWrite closes the write side of the connection, if it supports that, so that the
// client can read the last response to its end.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(closeWriter); ok {
		return half.CloseWrite()
	}
	return nil
}
