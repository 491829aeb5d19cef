package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestSilentEndpointIsNotGivenUpForOneThatRefuses guards against an answer that ends early at a full endpoint while the sound one before would have gone on.
func TestSilentEndpointIsNotGivenUpForOneThatRefuses(t *testing.T) {
	roster := query{path: "/roster/1", promptParts: chatPromptParts}
	lookup := query{path: "/lookup/1", body: "work", deadline: "5000"}
	for name, test := range map[string]struct {
		query     query
		endpoints []string
		silence   func(*hosted.Worker)
	}{
		"in a stream":     {roster, engineIDs, func(w *hosted.Worker) { w.Events, w.EventInterval = 2, 2200*time.Millisecond }},
		"before a stream": {roster, engineIDs, func(w *hosted.Worker) { w.Delay = 2 * time.Second }},
		"before another answer": {lookup, []string{"plain-1", "plain-2"}, func(w *hosted.Worker) {
			w.Delay = time.Second
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			for _, id := range test.endpoints {
				test.silence(f.workers[id])
			}
			answer := make(chan result, 1)
			go func() { answer <- f.ask(context.Background(), 1, test.query) }()
			const id = "0000000000000001"
			f.eventually("the request is executed", func() bool { return f.executions(id) == 1 })
			for _, endpoint := range test.endpoints {
				if endpoint != f.executing(id) {
					f.workers[endpoint].SetDefault(hosted.Refuse)
				}
			}
			got := <-answer
			if got.status != http.StatusOK || !got.complete || f.executions(id) != 1 {
				t.Errorf("%+v after %d executions", got, f.executions(id))
			}
		})
	}
}
