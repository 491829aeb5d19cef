package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestIdleConnectionIsServedWhileTheStopWaits guards against a stop that closes idle connections, which a request may be crossing, while it waits for others.
func TestIdleConnectionIsServedWhileTheStopWaits(t *testing.T) {
	f := newTestFleet(t, stopFleetSize)
	busy := &lateCaller{path: "/deposit/1", open: "unused", result: result{id: "00000000000000f0"}}
	busy.connect(f)
	var idle []*lateCaller
	for i := range 10 {
		c := &lateCaller{path: "/chat/1", open: "served", at: testLinger + time.Duration(i)*10*time.Millisecond}
		c.result.id = fmt.Sprintf("%016x", f.requests.Add(1))
		c.connect(f)
		idle = append(idle, c)
	}
	for _, id := range plainWorkers {
		f.workers[id].SetDefault(hosted.Hang)
	}
	go busy.exchange(busy.conn, f.newRequest(context.Background(), 1, busy.id, query{path: busy.path}))
	f.eventually("a request is in progress", func() bool { return f.gateways[0].active.Load() == 1 })
	f.beginStop(testGrace, testLinger)
	f.sendLate(idle)
	for _, c := range idle {
		answered := c.status == http.StatusOK || c.status == http.StatusServiceUnavailable
		if !answered || !c.complete || c.header.Get("Connection") != "close" {
			t.Errorf("%s: status %d, %v", c.name(), c.status, c.err)
		}
	}
}

// TestUnusedConnectionDoesNotHoldTheStop guards against a stop that waits to its end for a connection without a request and counts as aborted.
func TestUnusedConnectionDoesNotHoldTheStop(t *testing.T) {
	f := newTestFleet(t, 1)
	f.beginStop(testGrace, testLinger)
	time.Sleep(testLinger - 200*time.Millisecond)
	f.dialFront()
	err := <-f.done[0]
	f.done[0] <- err
	if err != nil {
		t.Error(err)
	}
}

// TestStopKeepsIdleConnectionsAsLongAsAnnounced guards against a stop that closes connections before the time announced to callers.
func TestStopKeepsIdleConnectionsAsLongAsAnnounced(t *testing.T) {
	f := newTestFleet(t, 1)
	bounds := *f.gateways[0].bounds.Load()
	bounds.GracePeriod = testGrace
	f.gateways[0].setBounds(bounds)
	conn := f.dialFront()
	first, err := askRaw(conn, rawRequest)
	if err != nil || first.Header.Get("Keep-Alive") != "timeout=2" {
		t.Fatalf("%+v, %v", first, err)
	}
	f.beginStop(testGrace, testLinger)
	time.Sleep(testLinger + 400*time.Millisecond)
	if last, err := askRaw(conn, rawRequest); err != nil || !last.Close {
		t.Errorf("%+v, %v", last, err)
	}
}
