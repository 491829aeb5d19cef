package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
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

// callerIdleTimeout returns after which idle time a caller's connection is currently closed.
func (g *Gateway) callerIdleTimeout() time.Duration {
	configuration := g.tracker.Snapshot().Configuration
	if configuration == nil || configuration.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return scale(configuration.Limits.IdleTimeout, idleCloseFactor)
}

// idleCloser closes callers' connections that are idle for too long. It is safe for concurrent
// use.
type idleCloser struct {
	// limit returns how long a connection may be idle at present.
	limit func() time.Duration

	mu    sync.Mutex
	spans map[net.Conn]*idleSpan
}

// idleSpan is a time in which a connection waits for its next request.
type idleSpan struct {
	began clock.Boot
	timer *time.Timer
	// first reports whether it waits for its first one.
	first bool
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, spans: map[net.Conn]*idleSpan{}}
}

// stateChanged must be called with each state change of a connection. A new connection counts
// as idle until its first request.
func (i *idleCloser) stateChanged(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if span, ok := i.spans[conn]; ok {
		span.timer.Stop()
		delete(i.spans, conn)
	}
	if state == http.StateNew || state == http.StateIdle {
		span := &idleSpan{began: clock.Now(), first: state == http.StateNew}
		span.timer = time.AfterFunc(i.limit(), func() { i.expire(conn, span) })
		i.spans[conn] = span
	}
}

// countSince returns the number of open connections that wait for a request since a time not before
// earliest.
func (i *idleCloser) countSince(earliest clock.Boot) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for _, span := range i.spans {
		if span.began >= earliest {
			count++
		}
	}
	return count
}

// closeQuiet closes the connections that have served a request and on which no next one is arriving. It
// returns the number of those on which one is.
func (i *idleCloser) closeQuiet() (arriving int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, span := range i.spans {
		switch {
		case span.first:
		case conn.(*httpguard.Conn).IsQuiet():
			span.timer.Stop()
			delete(i.spans, conn)
			_ = conn.Close() // The caller may have closed it too.
		default:
			arriving++
		}
	}
	return arriving
}

// expire closes a connection whose timer has fired, unless a request has begun or arrived since or
// the limit has been raised.
func (i *idleCloser) expire(conn net.Conn, span *idleSpan) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.spans[conn] != span {
		return
	}
	if left := i.limit() - clock.Now().Sub(span.began); left > 0 {
		span.timer.Reset(left)
		return
	}
	if !conn.(*httpguard.Conn).IsQuiet() {
		return // The limit for heads holds now.
	}
	delete(i.spans, conn)
	_ = conn.Close() // The caller may have closed it too.
}
