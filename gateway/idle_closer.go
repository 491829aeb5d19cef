package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/httpguard"
)

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

// count returns the number of open connections that wait for a request.
func (i *idleCloser) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.spans)
}

// countSince returns the number of open connections that wait for their first request, or for another
// one, since a time not before earliest.
func (i *idleCloser) countSince(earliest clock.Boot, first bool) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for _, span := range i.spans {
		if span.first == first && span.began >= earliest {
			count++
		}
	}
	return count
}

// retireQuiet retires the connections on which no request is arriving. It returns the number of
// connections that wait for a request or for their end.
func (i *idleCloser) retireQuiet() (open int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, span := range i.spans {
		span.timer.Stop()
		conn.(*httpguard.Conn).Retire(httpguard.ClosedForStop)
	}
	return len(i.spans)
}

// expire retires a connection whose timer has fired, unless a request has begun or arrived since or
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
	conn.(*httpguard.Conn).Retire(httpguard.ClosedIdle) // If a request is arriving, the limit for heads holds now.
}
