package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

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
