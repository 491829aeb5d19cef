package gateway

import (
	"context"
	"testing"

	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// TestRequestWaitsForPrefillInProgress starts a chat whose prompt an engine is processing for
// another request. The second request must go to the same engine as soon as the prefill is
// done, or after its maximum wait if the prefill takes longer.
func TestRequestWaitsForPrefillInProgress(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	for _, prefillDone := range []bool{true, false} {
		chat := map[bool]string{true: "a1:100,b1:20000,", false: "a1:100,b2:20000,"}[prefillDone]
		first := f.newChat(t, chat+"c1:10")
		pick, err := first.nextEndpoint()
		if err != nil {
			t.Fatal(err)
		}
		if first.prefillWaited != 0 {
			t.Errorf("the first request waited %v", first.prefillWaited)
		}
		work := g.table.Begin(pick, &first.request.Prompt, clock.Now())
		if prefillDone {
			go func() { work.PrefillDone() }()
		}
		second := f.newChat(t, chat+"c2:10")
		again, err := second.nextEndpoint()
		if err != nil {
			t.Fatal(err)
		}
		if again.Endpoint.ID != pick.Endpoint.ID || (!prefillDone && second.prefillWaited < scale(second.grant.route.LatencyObjective, prefillWaitShare)) {
			t.Errorf("prefill done %v: at %s after %v, the first is at %s", prefillDone, again.Endpoint.ID, second.prefillWaited, pick.Endpoint.ID)
		}
		if prefillDone && again.Reason != choice.ReasonHeld {
			t.Errorf("picked for the reason %s", again.Reason)
		}
		work.End()
	}
}

// newChat returns an authorized call with the given prompt parts.
func (f *testFleet) newChat(t *testing.T, parts string) *call {
	t.Helper()
	g := f.gateways[0]
	c := &call{gateway: g, r: f.newRequest(context.Background(), 1, "00000000000000d1", query{path: "/chat/1", promptParts: parts})}
	request, err := platform.DecodeRequest(c.r.Header)
	if err != nil {
		t.Fatal(err)
	}
	c.request = request
	if err := c.authorize(g.tracker.Snapshot()); err != nil {
		t.Fatal(err)
	}
	return c
}
