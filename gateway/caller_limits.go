package gateway

import (
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

// idleCloseFactor is how long an idle connection is kept, as a multiple of the idle timeout. A request
// that a caller sends around the timeout itself must not cross the close.
const idleCloseFactor = 1.5

// idleTimeout returns for how long callers may currently leave a connection idle, and whether the
// configuration specifies it.
func (g *Gateway) idleTimeout() (timeout time.Duration, configured bool) {
	configuration := g.tracker.Snapshot().Configuration
	if configuration == nil || configuration.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout, false
	}
	return configuration.Limits.IdleTimeout, true
}

// callerIdleTimeout returns after which idle time a caller's connection is currently closed.
func (g *Gateway) callerIdleTimeout() time.Duration {
	timeout, configured := g.idleTimeout()
	if !configured {
		return timeout
	}
	return scale(timeout, idleCloseFactor)
}
