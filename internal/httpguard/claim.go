package httpguard

import (
	"sync"
	"time"
)

// claim arbitrates between the request that is served on a connection and whoever closes
// the connection, such as a timer or a shutdown that takes it for idle. Its zero value is
// an open connection without a request. It is safe for concurrent use.
type claim struct {
	mu sync.Mutex
	// held reports whether a request is being served, closed whether Close was called or the
	// end of the connection was sent, gone whether the connection was closed.
	held   bool
	closed bool
	gone   bool
	// reason is the first reason to close the connection; "" if there is none.
	reason CloseReason
	// retireFor is the reason for which the connection is to be retired; "" if it is not. retired
	// reports whether its end was sent for that.
	retireFor CloseReason
	retired   bool
	// readDeadline is the deadline for reads that was set last.
	readDeadline time.Time
}

// setReason sets the reason to close the connection unless there is one. mu must be held.
func (c *claim) setReason(reason CloseReason) {
	if c.reason == "" {
		c.reason = reason
	}
}

// Claim must be called before a request that was read from the connection is handled. It
// returns false if the connection has been closed since: the request must then not be
// passed on, as its response can't be delivered. After true, Close takes effect only in
// Release.
func (c *Conn) Claim() bool {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	c.claim.held = !c.claim.closed
	if c.claim.held && c.claim.retireFor != "" {
		c.dropRetirement()
	}
	return c.claim.held
}

// claimed reports whether a request is being served.
func (c *Conn) claimed() bool {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	return c.claim.held
}

// setReason sets the reason to close the connection unless there is one.
func (c *Conn) setReason(reason CloseReason) {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	c.claim.setReason(reason)
}

// Release must be called once the response to a claimed request has been written. It closes
// the connection if Close was called meanwhile. Without a claim it does nothing.
func (c *Conn) Release() {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	c.serving.Store(false)
	if !c.claim.held {
		return
	}
	c.claim.held = false
	c.receiving.Store(len(c.pending)+len(c.ready) > 0)
	c.arrived = c.lastArrived // Unless bytes of the next request have been read, the next read replaces it.
	c.responded.Store(false)
	if c.claim.closed {
		_ = c.closeNow() // Nobody is left to handle the error.
	}
}

// Close closes the connection, or lets Release close it while a request is served.
func (c *Conn) Close() error {
	c.claim.mu.Lock()
	defer c.claim.mu.Unlock()
	c.claim.closed = true
	if c.claim.held {
		return nil
	}
	return c.closeNow()
}
