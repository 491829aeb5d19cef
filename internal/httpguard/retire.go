package httpguard

import (
	"errors"
	"io"
	"os"
	"time"

	"cardamompoint.example/cardamompoint/internal/socket"
)

// closeWait is how long a connection that was idle waits for the caller's end of it. A request that
// crossed the close has arrived by then, so that it is noticed.
const closeWait = 500 * time.Millisecond

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Retire closes an idle connection for a reason. The goroutine that waits for the next request does
// so, and only if none has begun: a request is either answered, or it arrived after the end of the
// connection had been sent. Retire returns false if a request is arriving or being served.
func (c *Conn) Retire(reason CloseReason) bool {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	if c.claim.held || !c.claim.closed && !c.IsQuiet() {
		return false
	}
	if c.claim.closed || c.claim.retireFor != "" {
		return true
	}
	if _, ok := c.Conn.(closeWriter); !ok {
		c.claim.closed = true
		c.claim.setReason(reason)
		_ = c.closeNow() // The caller may have closed it too.
		return true
	}
	c.claim.retireFor = reason
	_ = c.Conn.SetReadDeadline(longAgo) // It fails only if the connection is closed.
	return true
}

// SetReadDeadline sets the deadline for reads. It takes effect later if the connection is being
// retired.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	c.claim.readDeadline = deadline
	if c.claim.retireFor != "" || c.claim.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// receive reads from the connection, unless it is retired meanwhile.
func (c *Conn) receive(p []byte) (int, error) {
	return c.receiveWith(func() (int, error) { return c.Conn.Read(p) })
}

// receiveWith calls read until it does not time out, or the connection is retired.
func (c *Conn) receiveWith(read func() (int, error)) (int, error) {
	for {
		count, err := read()
		if count > 0 || err == nil {
			return count, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.setReason(ClosedByCaller)
			return count, err
		}
		switch c.tryRetire() {
		case retireNot:
			return count, err
		case retireDone:
			c.awaitCaller()
			return 0, io.EOF
		}
	}
}

// retireResult is what became of a wish to retire a connection.
type retireResult int

const (
	// retireNot means that there is none.
	retireNot retireResult = iota
	// retireDropped means that a request has begun.
	retireDropped
	// retireDone means that nothing more is read or written.
	retireDone
)

// tryRetire sends the end of the connection if it is to be retired and no request has begun.
func (c *Conn) tryRetire() retireResult {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	reason := c.claim.retireFor
	if reason == "" {
		return retireNot
	}
	if c.claim.held || c.claim.closed || !c.IsQuiet() {
		c.dropRetirement()
		return retireDropped
	}
	c.claim.retireFor = ""
	c.claim.closed, c.claim.retired = true, true
	c.claim.setReason(reason)
	_ = c.CloseWrite() // The next wait returns at once.
	return retireDone
}

// dropRetirement keeps the connection open, as a request has begun. claim.mu must be held.
func (c *Conn) dropRetirement() {
	c.claim.retireFor = ""
	_ = c.Conn.SetReadDeadline(c.claim.readDeadline) // The next read returns the error.
}

// awaitCaller waits until the caller closes its end, or sends a request that crossed the close. The
// request stays unread: a caller may send it again.
func (c *Conn) awaitCaller() {
	if err := c.Conn.SetReadDeadline(time.Now().Add(closeWait)); err == nil {
		socket.AwaitPeer(c.Conn)
	}
}

// closeWriter is a connection of which the write side can be closed alone.
type closeWriter interface{ CloseWrite() error }
