package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/httpguard"
)

// The limits of callers while no configuration tells them.
const (
	defaultHeadBytes = 16 << 10
	defaultHeadTime  = 5 * time.Second
	defaultIdleTime  = 60 * time.Second
)

// headLimits returns the bounds of a caller's request head in force.
func (g *Gateway) headLimits() httpguard.Limits {
	limits := httpguard.Limits{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime}
	configuration := g.tracker.Snapshot().Configuration
	if configuration == nil {
		return limits
	}
	if bytes := configuration.Limits.HeaderBytes; bytes > 0 {
		limits.HeadBytes = min(bytes, httpguard.CeilingBytes/2)
	}
	if limit := configuration.Limits.HeaderTimeout; limit > 0 {
		limits.HeadTime = limit
	}
	return limits
}

// idleLimit returns how long a caller's connection may be idle.
func (g *Gateway) idleLimit() time.Duration {
	configuration := g.tracker.Snapshot().Configuration
	if configuration == nil || configuration.Limits.IdleTimeout <= 0 {
		return defaultIdleTime
	}
	return configuration.Limits.IdleTimeout
}

// idleConns closes callers' connections that are idle for too long. It is safe
// for concurrent use.
type idleConns struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// changed is told of each change of a connection's state. A new connection
// counts as idle until its first request.
func (i *idleConns) changed(conn net.Conn, state http.ConnState) {
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
