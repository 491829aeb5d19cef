package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// TestSilentStreamIsNotCutByTheEndpointItWouldGoOnAt guards against a stream that leaves an endpoint which goes on later, for one that refuses, fails or stays silent.
func TestSilentStreamIsNotCutByTheEndpointItWouldGoOnAt(t *testing.T) {
	for name, disturb := range map[string]func(*hosted.Worker){
		"refuses":               func(w *hosted.Worker) { w.SetDefault(hosted.Refuse) },
		"fails":                 func(w *hosted.Worker) { w.SetDefault(hosted.Fail) },
		"drops the connection":  func(w *hosted.Worker) { w.SetDefault(hosted.DropConnection) },
		"never answers":         func(w *hosted.Worker) { w.SetDefault(hosted.Hang) },
		"goes on with an error": func(w *hosted.Worker) { w.SetDefault(hosted.Unsealed) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			q := query{path: "/roster/1", promptParts: chatPromptParts}
			serving, other := f.engineOf(q)
			f.workers[serving].Events, f.workers[serving].EventInterval = 2, 3*time.Second
			disturb(f.workers[other])
			got := f.ask(context.Background(), 1, q)
			if !got.complete || !strings.HasSuffix(got.body, "id: 2\ndata: piece 2\n\n") || f.workers[serving].Runs(got.id) != 1 {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestStreamIsHandedOverToAnEndpointThatGoesOn guards against two endpoints that work on one stream.
func TestStreamIsHandedOverToAnEndpointThatGoesOn(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	q := query{path: "/roster/1", promptParts: chatPromptParts}
	serving, other := f.engineOf(q)
	f.workers[serving].Events, f.workers[serving].EventInterval = 5, time.Minute
	got := f.ask(context.Background(), 1, q)
	if !got.complete || !strings.HasSuffix(got.body, "id: 5\ndata: piece 5\n\n") || f.workers[other].Runs(got.id) != 1 {
		t.Errorf("%+v", got)
	}
	f.eventually("the silent endpoint's work is abandoned", func() bool { return f.workers[serving].Abandoned(got.id) })
}

// TestHandoverThatIsNotNeededLeavesTheOtherEndpoint guards against a request that stays at a silent endpoint until its time is over, since the only other one counts as tried without having been asked.
func TestHandoverThatIsNotNeededLeavesTheOtherEndpoint(t *testing.T) {
	f := newTestFleet(t, 1)
	f.listenRaw(f.address(130, workerPort), func(conn net.Conn) {
		_, _ = io.WriteString(conn, "H") // The beginning of an answer.
		_, _ = io.Copy(io.Discard, conn)
	})
	x := f.dialExchange(query{path: "/roster/1", promptParts: chatPromptParts}, f.address(130, workerPort))
	f.eventually("the endpoint goes on", x.conn.HasInput)
	if next, _, ok := x.askSuccessor(); next != nil || ok {
		t.Error("another endpoint was asked")
	}
	if x.attempts != 1 || len(x.triedEndpoints) != 1 {
		t.Errorf("%d attempts, %v tried, want the first one alone", x.attempts, x.triedEndpoints)
	}
}

// TestRequestLeavesAnEndpointThatIsSilentWithinAHead guards against a request that stays at a silent endpoint until its time is over, since the beginning of a line that was read counts as a sign of life.
func TestRequestLeavesAnEndpointThatIsSilentWithinAHead(t *testing.T) {
	const partOfAHead = "HTTP/1.1 200 OK\r\nCardamompoint-Att"
	for name, c := range map[string]struct {
		service  string
		replaced []string
		query    query
		answer   string
		want     string
	}{
		"lookup": {"plain", plainWorkers, query{path: "/lookup/1"}, wholeBody, "right"},
		"stream": {"engines", engineIDs, query{path: "/roster/1", promptParts: chatPromptParts}, streamHead + "\r\n$REST" + closeMark, eventsAfter("")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			f.replaceByScripted(c.service, c.replaced, partOfAHead, c.answer)
			if got := f.ask(context.Background(), 1, c.query); got.status != http.StatusOK || got.body != c.want {
				t.Errorf("the caller got %d, %q", got.status, got.body)
			}
		})
	}
}

// dialExchange returns the first exchange of a new call, whose connection leads to the given address.
func (f *testFleet) dialExchange(q query, address string) *exchange {
	f.t.Helper()
	x, err := f.newCall(q).newExchange()
	if err != nil {
		f.t.Fatal(err)
	}
	if x.conn, err = x.gateway.pool.Dial(context.Background(), "dialed", address); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(x.conn.Close)
	return x
}

// newCall returns a call of the first VM for a query, which has no caller.
func (f *testFleet) newCall(q query) *call {
	f.t.Helper()
	c := &call{gateway: f.gateways[0], w: httptest.NewRecorder(), r: f.newRequest(context.Background(), 1, "00000000000000c1", q), arrived: clock.Now()}
	request, err := platform.DecodeRequest(c.r.Header)
	if err != nil {
		f.t.Fatal(err)
	}
	c.request = request
	if err := c.authorize(c.gateway.tracker.Snapshot()); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// engineOf returns the engine that serves a query and the other one.
func (f *testFleet) engineOf(q query) (serving, other string) {
	f.t.Helper()
	warm := f.ask(context.Background(), 1, q)
	if f.workers["engine-2"].Runs(warm.id) > 0 {
		return "engine-2", "engine-1"
	}
	return "engine-1", "engine-2"
}
