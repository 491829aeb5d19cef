package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
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

// engineOf returns the engine that serves a query and the other one.
func (f *testFleet) engineOf(q query) (serving, other string) {
	f.t.Helper()
	warm := f.ask(context.Background(), 1, q)
	if f.workers["engine-2"].Runs(warm.id) > 0 {
		return "engine-2", "engine-1"
	}
	return "engine-1", "engine-2"
}
