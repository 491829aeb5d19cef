package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/httpguard"
	"cardamompoint.example/cardamompoint/platform"
)

// callerConns keeps callers' connections open while requests on them are served, and closes
// those that are idle for too long.
type callerConns struct {
	idle *idleCloser
	open *openConns
}

// newCallerConns returns the connections of a listener. idleLimit returns how long one may be idle at
// present.
func newCallerConns(idleLimit func() time.Duration) callerConns {
	return callerConns{idle: newIdleCloser(idleLimit), open: &openConns{conns: map[net.Conn]struct{}{}}}
}

// connKey is the key of the caller's connection in a request's context.
type connKey struct{}

// context adds the connection to the context of its requests.
func (callerConns) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerConn returns the connection of a caller's request.
func callerConn(r *http.Request) *httpguard.Conn {
	return r.Context().Value(connKey{}).(*httpguard.Conn)
}

// stateChanged must be called with each state change of a connection.
func (c callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle || state == http.StateClosed {
		conn.(*httpguard.Conn).Release()
	}
	c.idle.stateChanged(conn, state)
	c.open.stateChanged(conn, state)
}

// claim returns a handler that passes a request on to next if its connection is still open, and
// that keeps the connection open until the response has been written. A connection can be closed
// as idle between the arrival of a request and the start of its handler.
func (callerConns) claim(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := callerConn(r)
		if !conn.Claim() {
			request, _ := platform.DecodeRequest(r.Header) // The ID is set in any case.
			klog.InfoS("route: not accepted, as the connection was closed before", "request", request.ID)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
