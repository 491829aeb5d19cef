package httpguard

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	testRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	testAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// connPair is a guarded connection over TCP and its caller's end.
type connPair struct {
	server *Conn
	caller net.Conn
	closed chan Closure
}

func newConnPair(t *testing.T, limits func() Limits) *connPair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	pair := &connPair{caller: caller, closed: make(chan Closure, 1)}
	guarded := &Listener{Listener: listener, Limits: limits, OnClose: func(_ *Conn, closure Closure) { pair.closed <- closure }}
	conn, err := guarded.Accept()
	if err != nil {
		t.Fatal(err)
	}
	pair.server = conn.(*Conn)
	t.Cleanup(func() { caller.Close(); conn.Close() })
	return pair
}

// serve reads requests and answers them until the connection ends, as a server does.
func (p *connPair) serve() {
	defer p.server.Close()
	for {
		if _, err := p.server.Read(make([]byte, len(testRequest))); err != nil || !p.server.Claim() {
			return
		}
		_, _ = io.WriteString(p.server, testAnswer)
		p.server.Release()
	}
}

// ask sends a request and returns whether an answer came.
func (p *connPair) ask() bool {
	_, _ = io.WriteString(p.caller, testRequest)
	_, err := io.ReadFull(p.caller, make([]byte, len(testAnswer)))
	return err == nil
}

// askAndRetire sends a request and retires the connection once the answer has come.
func (p *connPair) askAndRetire(t *testing.T, reason CloseReason) {
	t.Helper()
	if !p.ask() {
		t.Fatal("the first request got no answer")
	}
	for end := time.Now().Add(10 * time.Second); !p.server.Retire(reason); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is not idle")
		}
	}
}

// awaitClosure returns how the connection was closed.
func (p *connPair) awaitClosure(t *testing.T) Closure {
	t.Helper()
	select {
	case closure := <-p.closed:
		return closure
	case <-time.After(10 * time.Second):
		t.Fatal("the connection was not closed")
		return Closure{}
	}
}

// TestRequestThatCrossesTheCloseIsNoticed guards against requests that are lost with their connection unnoticed by the server.
func TestRequestThatCrossesTheCloseIsNoticed(t *testing.T) {
	p := newConnPair(t, testLimits)
	go p.serve()
	p.askAndRetire(t, ClosedIdle)
	if _, err := p.caller.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatal("the connection was not ended:", err)
	}
	_, _ = io.WriteString(p.caller, testRequest)
	if got := p.awaitClosure(t); got != (Closure{Reason: ClosedIdle, Unanswered: true}) {
		t.Errorf("got %+v", got)
	}
}

// TestQuietCloseIsNoLoss closes idle connections whose callers send nothing more.
func TestQuietCloseIsNoLoss(t *testing.T) {
	for _, callerCloses := range []bool{false, true} {
		p := newConnPair(t, testLimits)
		go p.serve()
		p.askAndRetire(t, ClosedForStop)
		if _, err := p.caller.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatal("the connection was not ended:", err)
		}
		if callerCloses {
			p.caller.Close()
		}
		if got := p.awaitClosure(t); got != (Closure{Reason: ClosedForStop}) {
			t.Errorf("got %+v, closed by the caller: %v", got, callerCloses)
		}
	}
}

// TestRequestAroundTheCloseIsAnsweredOrNoticed guards against a close that races with the reader of the connection.
func TestRequestAroundTheCloseIsAnsweredOrNoticed(t *testing.T) {
	answered, noticed := 0, 0
	for i := range 400 {
		p := newConnPair(t, testLimits)
		go p.serve()
		if !p.ask() {
			t.Fatal("the first request got no answer")
		}
		var retired sync.WaitGroup
		retired.Go(func() {
			time.Sleep(time.Duration(i%40) * time.Microsecond)
			p.server.Retire(ClosedIdle)
		})
		got := p.ask()
		retired.Wait()
		p.caller.Close()
		switch closure := p.awaitClosure(t); {
		case got && !closure.Unanswered:
			answered++
		case !got && closure.Unanswered:
			noticed++
		default:
			t.Fatalf("answered: %v, %+v", got, closure)
		}
	}
	t.Logf("%d answered, %d noticed", answered, noticed)
}

// TestClosuresTellTheirReason ends connections in each other way.
func TestClosuresTellTheirReason(t *testing.T) {
	for _, c := range []struct {
		end  func(p *connPair)
		want Closure
	}{
		{func(p *connPair) { p.caller.Close() }, Closure{Reason: ClosedByCaller}},
		{func(p *connPair) { _, _ = io.WriteString(p.caller, "GET"); p.caller.Close() }, Closure{Reason: ClosedByCaller}},
		{func(p *connPair) { _, _ = io.WriteString(p.caller, "GET") }, Closure{Reason: ClosedSlowHead, Unanswered: true}},
		{func(p *connPair) { p.server.Close() }, Closure{Reason: ClosedAfterResponse}},
	} {
		p := newConnPair(t, func() Limits { return Limits{HeadBytes: testLimit, HeadTimeout: 50 * time.Millisecond} })
		go p.serve()
		if !p.ask() {
			t.Fatal("the first request got no answer")
		}
		c.end(p)
		if got := p.awaitClosure(t); got != c.want {
			t.Errorf("got %+v, want %+v", got, c.want)
		}
	}
}
