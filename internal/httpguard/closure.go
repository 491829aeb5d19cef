package httpguard

import "cardamompoint.example/cardamompoint/internal/socket"

// CloseReason says why a connection was closed.
type CloseReason string

// The reasons for which a connection is closed.
const (
	// ClosedByCaller means that the caller closed it first, or that it broke.
	ClosedByCaller CloseReason = "caller"
	// ClosedAfterResponse means that the last response announced it.
	ClosedAfterResponse CloseReason = "response"
	// ClosedRefusedHead means that a head was malformed or too large.
	ClosedRefusedHead CloseReason = "refused_head"
	// ClosedSlowHead means that a head was not complete in time.
	ClosedSlowHead CloseReason = "slow_head"
	// ClosedIdle means that it was idle for too long.
	ClosedIdle CloseReason = "idle"
	// ClosedForStop means that the server is stopping.
	ClosedForStop CloseReason = "stop"
)

// Closure describes how a connection was closed.
type Closure struct {
	Reason CloseReason
	// Unanswered reports whether bytes came after the last response, read or unread, that got
	// none and were not passed on. It is false if the caller closed the connection first.
	Unanswered bool
}

// closeFor closes the connection for a reason, unless it is being closed for another one.
func (c *Conn) closeFor(reason CloseReason) {
	c.claim.mu.Lock()
	c.claim.setReason(reason)
	c.claim.mu.Unlock()
	_ = c.Close() // The caller may have closed it too.
}

// closeNow closes the connection and tells how. claim.mu must be held.
func (c *Conn) closeNow() error {
	if c.claim.gone {
		return c.Conn.Close()
	}
	c.claim.gone = true
	closure := c.closure()
	err := c.Conn.Close()
	if c.OnClose != nil {
		c.OnClose(c, closure)
	}
	return err
}

// closure describes how the connection is being closed. claim.mu must be held.
func (c *Conn) closure() Closure {
	closure := Closure{Reason: c.claim.reason}
	if closure.Reason == "" {
		closure.Reason = ClosedAfterResponse
	}
	if closure.Reason != ClosedByCaller {
		closure.Unanswered = c.receiving.Load() && !c.responded.Load() || socket.HasUnread(c.Conn)
	}
	return closure
}
