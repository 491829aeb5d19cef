package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// forgetTime is how long a connection may be idle until a forgetful endpoint resets it with the
	// next request, forgottenPause a pause after which that is so.
	forgetTime     = 150 * time.Millisecond
	forgottenPause = 200 * time.Millisecond
	// forgetfulEndpoints is the number of such endpoints.
	forgetfulEndpoints = 4
)

// serveForgetful answers requests, but resets a connection without an answer if it was idle for
// longer than forgetTime.
func serveForgetful(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for served := false; ; served = true {
		began := time.Now()
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if served && time.Since(began) > forgetTime {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Cardamompoint-Attempt-Id")
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: x\r\nContent-Length: 0\r\n\r\n", id); err != nil {
			return
		}
	}
}

// replaceByForgetful replaces the plain endpoints by forgetful ones.
func (f *testFleet) replaceByForgetful() {
	f.t.Helper()
	for _, id := range []string{"plain-1", "plain-2"} {
		f.store.DeleteEndpoint(id)
	}
	for i := range forgetfulEndpoints {
		address := f.address(120+i, workerPort)
		f.listenRaw(address, serveForgetful)
		f.store.PutEndpoint(fmt.Sprint("forgetful-", i), "plain", address, "ready")
	}
	f.eventually("only the forgetful endpoints are known", func() bool {
		for _, g := range f.gateways {
			ready := g.tracker.Snapshot().Ready["plain"]
			if len(ready) != forgetfulEndpoints || ready[0].ID[0] != 'f' {
				return false
			}
		}
		return true
	})
}

// keepConnections lets a gateway keep a connection to each forgetful endpoint.
func (f *testFleet) keepConnections(g *Gateway) {
	f.t.Helper()
	for _, endpoint := range g.tracker.Snapshot().Ready["plain"] {
		conn, err := g.pool.Dial(context.Background(), endpoint.ID, endpoint.Address)
		if err != nil {
			f.t.Fatal(err)
		}
		if _, err := fmt.Fprintf(connWriter{conn}, "GET / HTTP/1.1\r\nHost: a\r\nCardamompoint-Attempt-Id: a1\r\n\r\n"); err != nil {
			f.t.Fatal(err)
		}
		response, info, err := conn.ReadResponse(http.MethodGet, "a1")
		if err != nil || !conn.PrepareReuse(response, info) {
			f.t.Fatal("the connection can't be kept: ", err)
		}
		g.pool.Put(conn)
	}
}

// deposit is a request that may run once.
var deposit = query{path: "/deposit/1", body: "work"}

// connWriter writes to a connection of a pool.
type connWriter struct {
	conn interface {
		Send(head, body []byte) (bool, error)
	}
}

// Write implements io.Writer.
func (w connWriter) Write(p []byte) (int, error) {
	_, err := w.conn.Send(p, nil)
	return len(p), err
}

// TestDepositsLeaveConnectionsThatEndpointsForget sends requests that may run once to endpoints that
// reset connections that were idle: each endpoint may fail one of them.
func TestDepositsLeaveConnectionsThatEndpointsForget(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	f.replaceByForgetful()
	const rounds = 8
	failed, served := 0, 0
	for i := range rounds * forgetfulEndpoints {
		switch status := f.ask(context.Background(), 1, deposit).status; status {
		case http.StatusOK:
			served++
		case http.StatusBadGateway:
			failed++
		default:
			t.Errorf("status %d", status)
		}
		if i%forgetfulEndpoints == forgetfulEndpoints-1 {
			time.Sleep(forgottenPause)
		}
	}
	if failed > forgetfulEndpoints || served == 0 {
		t.Errorf("%d failed, %d were served; one for each of %d endpoints may fail", failed, served, forgetfulEndpoints)
	}
}

// TestDepositsLeaveConnectionsThatOtherVMsFoundForgotten lets one VM meet forgotten connections at
// endpoints: then no request that may run once fails so at another VM.
func TestDepositsLeaveConnectionsThatOtherVMsFoundForgotten(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	f.replaceByForgetful()
	for _, g := range f.gateways {
		f.keepConnections(g)
	}
	time.Sleep(forgottenPause)
	for range 2 * forgetfulEndpoints {
		f.ask(context.Background(), 1, deposit)
	}
	f.eventually("the other VM knows of the resets", func() bool { return f.gateways[1].idleResets.InForce(clock.Now()) >= 2 })
	for i := range forgetfulEndpoints {
		if status := f.ask(context.Background(), 2, deposit).status; status != http.StatusOK {
			t.Errorf("request %d got %d", i, status)
		}
	}
}

// TestSilentStreamIsNotGivenUpForForgottenConnection lets an engine pause in a stream while the other one
// has forgotten its idle connection and accepts a new one: the stream must come whole.
func TestSilentStreamIsNotGivenUpForForgottenConnection(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	g, q := f.gateways[0], query{path: "/roster/1", promptParts: chatPromptParts}
	serving, other := f.engineOf(q)
	f.workers[serving].Events, f.workers[serving].EventInterval = 5, 3*time.Second
	f.workers[other].Events = 5
	address := f.address(150, workerPort)
	f.listenRaw(address, f.forgetsFirst(f.workers[other]))
	f.store.PutEndpoint(other, "engines", address, "ready")
	f.eventually("the move is known", func() bool { return g.tracker.Snapshot().Endpoints[other].Address == address })
	conn, err := g.pool.Dial(context.Background(), other, address)
	if err != nil {
		t.Fatal(err)
	}
	g.pool.Put(conn)
	got := f.ask(context.Background(), 1, q)
	if !got.complete || !strings.HasSuffix(got.body, "id: 5\ndata: piece 5\n\n") {
		t.Errorf("%+v", got)
	}
}

// forgetsFirst serves a worker, but resets the first connection with its first request.
func (f *testFleet) forgetsFirst(worker http.Handler) func(net.Conn) {
	address := f.address(151, workerPort)
	f.listen(address, worker)
	var conns atomic.Int64
	return func(conn net.Conn) {
		defer conn.Close()
		if conns.Add(1) == 1 {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer server.Close()
		go func() { _, _ = io.Copy(server, conn) }()
		_, _ = io.Copy(conn, server)
	}
}
