package httpguard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// ErrMalformedBody tells that a body in chunks is not well formed.
var ErrMalformedBody = errors.New("the chunks of the body are not well formed")

// refusedHead is what net/http reads in place of an unsound head; it answers
// with status 400 and closes the connection.
const refusedHead = "\x00\r\n\r\n"

// CeilingBytes is the largest limit of a head; servers must use it as their
// MaxHeaderBytes.
const MaxHeadBytes = 128 << 10

// overlongHead is what net/http reads in place of a head over the limit; it
// answers with status 431 and closes the connection. net/http allows 4096 bytes
// more than the ceiling.
var overlongHead = "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeadBytes+8192)

// readSize is the size of one read from the connection.
const readSize = 4096

// readBuffers are for reads of all connections.
var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// Conn checks the requests that are read from a connection. Like any net.Conn
// it may be read by one goroutine at a time.
type Conn struct {
	net.Conn
	limits func() Limits
	// headTimer closes the connection when a head takes too long; nil between
	// heads.
	headTimer *time.Timer

	// pending are bytes that were read and not checked yet, ready those that may
	// be passed on.
	pending []byte
	ready   []byte
	// passed is where ready begins.
	passed []byte
	body   body
	// ended tells that nothing more is passed on.
	ended error
}

// NewConn returns a guarded connection. limits is asked for each head.
func NewConn(conn net.Conn, limits func() Limits) *Conn {
	return &Conn{Conn: conn, limits: limits}
}

// Read returns checked bytes only.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.inBody() {
		return c.readBody(p)
	}
	for len(c.ready) == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		c.check()
		if len(c.ready) > 0 || c.ended != nil {
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

// inBody reports whether all that comes next is of a body of known length.
func (c *Conn) inBody() bool {
	return len(c.ready) == 0 && len(c.pending) == 0 && c.ended == nil && !c.body.chunked && c.body.left > 0
}

// readBody reads once from the connection, at most to the end of the body.
func (c *Conn) readBody(p []byte) (int, error) {
	count, err := c.Conn.Read(p[:min(len(p), c.body.left)])
	c.body.left -= count
	return count, err
}

// fill reads once from the connection. What was read before an error is kept,
// so that a read may be repeated after a timeout.
func (c *Conn) fill() error {
	buffer := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buffer)
	count, err := c.Conn.Read(buffer[:])
	c.pending = append(c.pending, buffer[:count]...)
	if count > 0 {
		return nil
	}
	return err
}

// check moves what may be passed on from pending to ready.
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

func (c *Conn) checkBody() {
	count, err := c.body.take(c.pending)
	c.pass(count)
	if err != nil {
		c.ended = err
	}
}

func (c *Conn) checkHead() {
	limits := c.limits()
	end := headEnd(c.pending)
	if overlong(c.pending, end, limits.HeadBytes) {
		c.replace(overlongHead)
		return
	}
	if end < 0 {
		c.startTimer(limits.HeadTimeout)
		return
	}
	c.stopTimer()
	next, err := parseHead(c.pending[:end])
	if err != nil {
		c.replace(refusedHead)
		return
	}
	c.pass(end)
	c.body = next
}

// overlong reports whether a head, or the part of it that is there while end is
// negative, is longer than limit. The request line counts by itself.
func overlong(data []byte, end, limit int) bool {
	if end < 0 {
		end = len(data)
	}
	line := bytes.IndexByte(data[:end], '\n') + 1
	return line > limit || end-line > limit
}

func (c *Conn) startTimer(limit time.Duration) {
	if c.headTimer == nil && limit > 0 {
		c.headTimer = time.AfterFunc(limit, func() { _ = c.Conn.Close() })
	}
}

func (c *Conn) stopTimer() {
	if c.headTimer != nil {
		c.headTimer.Stop()
		c.headTimer = nil
	}
}

// replace ends the connection with a head that net/http refuses.
func (c *Conn) replace(head string) {
	c.stopTimer()
	c.pending = nil
	c.ready = []byte(head)
	c.ended = io.EOF
}

// pass makes the first bytes of pending ready. All that was ready before has been read.
func (c *Conn) pass(count int) {
	c.passed = append(c.passed[:0], c.pending[:count]...)
	c.ready = c.passed
	c.pending = append(c.pending[:0], c.pending[count:]...)
}

// headEnd returns the length of the head at the start of data, -1 if it is not
// whole. An empty line of any form ends it.
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

// CloseWrite ends the answers, so that a caller reads the last one to its end.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
