package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/httpguard"
)

// Limits for callers if no configuration specifies them.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// headerLimits returns the current limits for the header of a caller's request.
func (g *Gateway) headerLimits() httpguard.Limits {
	limits := httpguard.Limits{HeadBytes: defaultHeaderBytes, HeadTimeout: defaultHeaderTimeout}
	configuration := g.tracker.Snapshot().Configuration
	if configuration == nil {
		return limits
	}
	if bytes := configuration.Limits.HeaderBytes; bytes > 0 {
		limits.HeadBytes = min(bytes, httpguard.MaxHeadBytes/2)
	}
	if limit := configuration.Limits.HeaderTimeout; limit > 0 {
		limits.HeadTimeout = limit
	}
	return limits
}

// callerIdleTimeout returns how long a caller's connection may currently be idle.
func (g *Gateway) callerIdleTimeout() time.Duration {
	configuration := g.tracker.Snapshot().Configuration
	if configuration == nil || configuration.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return configuration.Limits.IdleTimeout
}

// idleCloser closes callers' connections that are idle for too long. It is safe for concurrent
// use.
type idleCloser struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// stateChanged must be called with each state change of a connection. A new connection counts
// as idle until its first request.
func (i *idleCloser) stateChanged(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer, ok := i.timers[conn]; ok {
		timer.Stop()
		delete(i.timers, conn)
	}
	if state == http.StateNew || state == http.StateIdle {
		i.timers[conn] = time.AfterFunc(i.limit(), func() { _ = conn.Close() })
	}
}
