package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestConnectionsThatWaitUnacceptedAreNotReset guards against a stop that resets the connections that wait in the listener.
func TestConnectionsThatWaitUnacceptedAreNotReset(t *testing.T) {
	const count = 20
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := g.newCallerListener(raw, http.HandlerFunc(g.serveCaller))
	defer l.server.Close()
	var callers sync.WaitGroup
	var answered atomic.Int64
	for range count {
		conn, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		callers.Go(func() {
			if response, err := askRaw(conn, rawRequest); err == nil && response.StatusCode == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	time.AfterFunc(50*time.Millisecond, func() { l.server.Serve(l.net) }) // As in a process that got no processor time.
	if !g.finishRequests(&l, planShutdown(clock.Now(), testGrace, 0)) {
		t.Error("the stop cut requests")
	}
	callers.Wait()
	if answered.Load() != count {
		t.Errorf("%d of %d requests got an answer", answered.Load(), count)
	}
}
