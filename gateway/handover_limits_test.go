package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestSilenceEndsNoStreamWithoutATimeout guards against a stream that is cut since nothing bounds its time.
func TestSilenceEndsNoStreamWithoutATimeout(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	f.publishChanged(2, func(c *hosted.Configuration) {
		for i := range c.Routes {
			c.Routes[i].TimeoutMS = 0
		}
	})
	q := query{path: "/roster/1", promptParts: chatPromptParts}
	serving, other := f.engineOf(q)
	f.workers[serving].Events, f.workers[serving].EventInterval = 2, 3*time.Second
	f.workers[other].SetDefault(hosted.Fail)
	got := f.ask(context.Background(), 1, q)
	if !got.complete || !strings.HasSuffix(got.body, "id: 2\ndata: piece 2\n\n") {
		t.Errorf("%+v", got)
	}
}

// TestLongFailureOfASuccessorIsNotMixedWithTheAnswer guards against an answer that begins with the failure of another endpoint.
func TestLongFailureOfASuccessorIsNotMixedWithTheAnswer(t *testing.T) {
	for name, inBody := range map[string]bool{"silent in the body": true, "silent before the head": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			f.servePlain(silentFirst(inBody))
			got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"})
			if got.status != http.StatusOK || !got.complete || !strings.HasSuffix(got.body, "-rest") || len(got.body) > len("first-rest") {
				t.Errorf("status %d, complete: %t, %d bytes", got.status, got.complete, len(got.body))
			}
		})
	}
}

// silentFirst answers the first request after a silence, in the body or before the head, and fails all others with
// a response that is too long to be buffered.
func silentFirst(inBody bool) http.Handler {
	var seen atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cardamompoint-Attempt-Id", r.Header.Get("Cardamompoint-Attempt-Id"))
		w.Header().Set("Cardamompoint-Response-Seal", "x")
		if seen.Add(1) > 1 {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, strings.Repeat("e", maxBufferedBytes+1))
			return
		}
		if inBody {
			_, _ = io.WriteString(w, "first")
			_ = http.NewResponseController(w).Flush()
		}
		time.Sleep(900 * time.Millisecond)
		_, _ = io.WriteString(w, "-rest")
	})
}

// TestHandoverHeedsConfigurationThatForbidsIt guards against a second execution that the newest configuration forbids while the first is in progress.
func TestHandoverHeedsConfigurationThatForbidsIt(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	g, id := f.gateways[0], "00000000000000b1"
	c := &call{gateway: g, r: f.newRequest(context.Background(), 1, id, query{path: "/lookup/1"})}
	c.r.RequestURI = "/lookup/1"
	c.request = traffic.Request{ID: id, Key: "key-1"}
	if err := c.authorize(g.tracker.Snapshot()); err != nil {
		t.Fatal(err)
	}
	x, err := c.newExchange()
	if err != nil {
		t.Fatal(err)
	}
	if out, ok := x.begin(); !ok {
		t.Fatal(out)
	}
	if out, ok := x.send(); !ok {
		t.Fatal(out)
	}
	f.eventually("the request is executed", func() bool { return f.executions(id) == 1 })
	accepted := c.grant
	f.publishChanged(2, forbidRepeats)
	if next, _, ok := x.askSuccessor(); ok || next != nil || f.executions(id) != 1 {
		t.Errorf("handed over: %t, %d executions", ok, f.executions(id))
	}
	c.grant = accepted
	if x.handOver() || c.grant != accepted || c.attempts != 1 {
		t.Errorf("grant of version %d after %d attempts", c.grant.version, c.attempts)
	}
	x.end(&outcome{result: resultCallerGone})
}

// TestLastPermittedSuccessorIsAwaited guards against a stream that returns to a dead endpoint since the last other one is slow.
func TestLastPermittedSuccessorIsAwaited(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	q := query{path: "/roster/1", promptParts: chatPromptParts}
	serving, other := f.engineOf(q)
	f.workers[serving].Events, f.workers[serving].EventInterval = 5, time.Minute
	f.workers[other].Delay = 4 * time.Second
	got := f.ask(context.Background(), 1, q)
	if !got.complete || !strings.HasSuffix(got.body, "id: 5\ndata: piece 5\n\n") {
		t.Errorf("%+v", got)
	}
}
