package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/httpguard"
	"cardamompoint.example/cardamompoint/internal/socket"
)

// pipeConns returns both ends of a connection in memory, the server's end guarded.
func pipeConns(t *testing.T) (server *httpguard.Conn, caller net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	return httpguard.NewConn(near, func() httpguard.Limits { return httpguard.Limits{HeadBytes: 1 << 10} }), far
}

// isOpen reports whether the other end of a connection is open.
func isOpen(t *testing.T, caller net.Conn) bool {
	t.Helper()
	if err := caller.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return false
	}
	_, err := caller.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestIdleTimerThatFiredBeforeARequest lets the timer of an idle connection fire at the moment at
// which a request begins: the request must keep its connection.
func TestIdleTimerThatFiredBeforeARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closer := newIdleCloser(func() time.Duration { return time.Second })
		server, caller := pipeConns(t)
		closer.stateChanged(server, http.StateIdle)
		span := closer.spans[net.Conn(server)]
		closer.stateChanged(server, http.StateActive)
		closer.expire(server, span)
		if !isOpen(t, caller) {
			t.Error("the connection of an active request was closed")
		}
	})
}

// TestRaisedIdleLimitHoldsForIdleConnections raises the limit while a connection is idle: it must
// stay open until the new limit has passed, and be closed then.
func TestRaisedIdleLimitHoldsForIdleConnections(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(20 * time.Millisecond))
	closer := newIdleCloser(func() time.Duration { return time.Duration(limit.Load()) })
	server, caller := pipeConns(t)
	closer.stateChanged(server, http.StateIdle)
	span := closer.spans[net.Conn(server)]
	limit.Store(int64(time.Hour))
	closer.expire(server, span)
	if !isOpen(t, caller) {
		t.Fatal("the connection was closed before the raised limit")
	}
	limit.Store(0)
	closer.expire(server, span)
	if isOpen(t, caller) {
		t.Error("the connection is open after the limit")
	}
}

// socketConns returns both ends of a TCP connection, the server's end also guarded.
func socketConns(t *testing.T) (server *httpguard.Conn, near, caller net.Conn) {
	t.Helper()
	near, caller = fleettest.Connect(t)
	return httpguard.NewConn(near, func() httpguard.Limits { return httpguard.Limits{HeadBytes: 1 << 10} }), near, caller
}

// await waits until a condition holds.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition never held")
		}
	}
}

// TestIdleTimerSparesRequestThatHasArrived lets the idle limit of a connection pass after a request, or
// the beginning of one, has arrived that the process was too busy to handle.
func TestIdleTimerSparesRequestThatHasArrived(t *testing.T) {
	for _, read := range []bool{false, true} {
		var limit atomic.Int64
		limit.Store(int64(time.Hour))
		closer := newIdleCloser(func() time.Duration { return time.Duration(limit.Load()) })
		server, near, caller := socketConns(t)
		closer.stateChanged(server, http.StateIdle)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		await(t, func() bool { return !socket.IsSilent(near) })
		if read {
			go server.Read(make([]byte, 1))
			await(t, func() bool { return socket.IsSilent(near) && !server.IsQuiet() })
		}
		limit.Store(0)
		closer.expire(server, closer.spans[net.Conn(server)])
		if !isOpen(t, caller) {
			t.Errorf("the connection was closed, read: %v", read)
		}
	}
}

// TestRequestOnAClosedConnectionIsNotPassedOn closes a connection as idle after its next request
// was read: the request must not reach the handler.
func TestRequestOnAClosedConnectionIsNotPassedOn(t *testing.T) {
	near, far := net.Pipe()
	guarded := httpguard.NewConn(near, func() httpguard.Limits { return httpguard.Limits{HeadBytes: 1 << 10} })
	conns := newCallerConns(func() time.Duration { return time.Hour })
	handled := make(chan struct{}, 1)
	server := &http.Server{
		Handler:     conns.claim(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled <- struct{}{} })),
		ConnContext: conns.context,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive {
				conn.Close() // As a timer or a shutdown does that saw the connection idle.
			}
			conns.stateChanged(conn, state)
		},
	}
	listener := &singleListener{conn: guarded, done: make(chan struct{})}
	go server.Serve(listener)
	defer server.Close()
	if _, err := io.WriteString(far, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if answer, _ := io.ReadAll(far); len(answer) > 0 {
		t.Errorf("got %q", answer)
	}
	select {
	case <-handled:
		t.Error("the request was passed on")
	default:
	}
}

// TestClosedConnectionOfARequestDeliversTheAnswer closes a connection while a request on it is
// served: the answer must be delivered, and the connection closed then.
func TestClosedConnectionOfARequestDeliversTheAnswer(t *testing.T) {
	near, far := net.Pipe()
	guarded := httpguard.NewConn(near, func() httpguard.Limits { return httpguard.Limits{HeadBytes: 1 << 10} })
	conns := newCallerConns(func() time.Duration { return time.Hour })
	server := &http.Server{
		Handler: conns.claim(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			guarded.Close()
			io.WriteString(w, "whole")
		})),
		ConnContext: conns.context,
		ConnState:   conns.stateChanged,
	}
	listener := &singleListener{conn: guarded, done: make(chan struct{})}
	go server.Serve(listener)
	defer server.Close()
	go io.WriteString(far, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	answer, err := io.ReadAll(far)
	if err != nil || !strings.HasSuffix(string(answer), "whole") {
		t.Errorf("got %q, %v", answer, err)
	}
}

// singleListener accepts one connection.
type singleListener struct {
	conn net.Conn
	done chan struct{}
}

func (l *singleListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *singleListener) Close() error {
	close(l.done)
	return nil
}

func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }
