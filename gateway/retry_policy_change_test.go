package gateway

import (
	"context"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestRetryHeedsConfigurationThatForbidsIt guards against a second execution after the newest configuration allows only one.
func TestRetryHeedsConfigurationThatForbidsIt(t *testing.T) {
	for name, forbid := range map[string]func(*hosted.Configuration){
		"fewer executions": allowOneExecution,
		"not idempotent":   forbidRepeats,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			for _, id := range []string{"plain-1", "plain-2"} {
				f.workers[id].Delay = time.Second
				f.workers[id].SetDefault(hosted.Truncate)
			}
			f.publishChanged(2, allowSlowAnswers)
			answered := make(chan result, 1)
			go func() { answered <- f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"}) }()
			id := "0000000000000001"
			f.eventually("an endpoint works on the request", func() bool { return f.executions(id) == 1 })
			f.publishChanged(3, allowSlowAnswers, forbid)
			got := <-answered
			if runs := f.executions(got.id); got.id != id || runs != 1 {
				t.Errorf("request %s was answered with %d after %d executions, want 1", got.id, got.status, runs)
			}
		})
	}
}

// forbidRepeats withdraws the permission to repeat lookups.
func forbidRepeats(c *hosted.Configuration) {
	for i := range c.Routes {
		if c.Routes[i].Name == "lookup" {
			c.Routes[i].Kind = "non_idempotent"
		}
	}
}
