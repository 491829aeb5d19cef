package gateway

import (
	"context"
	"testing"
	"time"
)

// TestSilentStreamOpensNoConnectionWithoutRetryBudget guards against connections to other endpoints, and waits for them, when no retry is left that could use them.
func TestSilentStreamOpensNoConnectionWithoutRetryBudget(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, id := range engineIDs {
		f.workers[id].Events, f.workers[id].EventInterval = 1, 2*time.Second
	}
	f.spendRetryBudget()
	got := f.ask(context.Background(), 1, query{path: "/roster/1", promptParts: chatPromptParts})
	if !got.complete || f.executions(got.id) != 1 {
		t.Errorf("%+v after %d executions", got, f.executions(got.id))
	}
	f.eventually("the request has ended", func() bool { return f.gateways[0].active.Load() == 0 })
	if idle := f.gateways[0].pool.Idle(); idle != 1 {
		t.Errorf("%d connections are open after one request, want 1", idle)
	}
}
