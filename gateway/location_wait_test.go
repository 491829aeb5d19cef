package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/platform"
)

// longPromptParts has more shared tokens than a request sends without knowing where they are cached.
const longPromptParts = "a1:1000,b2:1041,c3:360"

// TestLongPromptIsRefusedWhileNoEndpointIsListed guards against requests with long shared prompts that get no answer at a VM that has started while no endpoint is listed.
func TestLongPromptIsRefusedWhileNoEndpointIsListed(t *testing.T) {
	f := newTestFleet(t, 1)
	for id := range f.workers {
		f.store.DeleteEndpoint(id)
	}
	f.eventually("no endpoint is known", func() bool { return len(f.gateways[0].tracker.Snapshot().Endpoints) == 0 })
	f.start(2)
	f.eventually("the new VM is ready", func() bool { return f.ready(2) == http.StatusOK })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, path := range []string{"/chat/1", "/roster/1"} {
		got := f.ask(ctx, 2, query{path: path, promptParts: longPromptParts, deadline: "3000"})
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// TestWaitForLocationsEnds guards against a wait for the locations of prompt parts that outlasts the time of the request, or maxLocationWait.
func TestWaitForLocationsEnds(t *testing.T) {
	for name, test := range map[string]struct {
		timeout time.Duration
		want    time.Duration
	}{
		"no timeout":             {want: maxLocationWait},
		"a long timeout":         {timeout: time.Minute, want: maxLocationWait},
		"a timeout within it":    {timeout: maxLocationWait / 2, want: maxLocationWait / 2},
		"a timeout that is over": {timeout: time.Nanosecond, want: time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.UseVirtualTime(t)
				c := callWithLongPrompt(t, test.timeout)
				began := clock.Now()
				c.awaitLocations()
				if took := clock.Now().Sub(began); took > test.want {
					t.Errorf("the request waited for %v, want %v at most", took, test.want)
				}
			})
		})
	}
}

// TestNoWaitForLocationsWithoutEndpoint guards against requests that wait though their service has no endpoint and they are refused afterwards.
func TestNoWaitForLocationsWithoutEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		c := callWithLongPrompt(t, time.Minute)
		c.grant.service = "other"
		began := clock.Now()
		c.awaitLocations()
		if took := clock.Now().Sub(began); took > 0 {
			t.Errorf("the request waited for %v", took)
		}
	})
}

// callWithLongPrompt returns a call with a long shared prompt that has just arrived at a VM that knows an
// endpoint, but no locations.
func callWithLongPrompt(t *testing.T, timeout time.Duration) *call {
	t.Helper()
	tracker := knowledge.NewTracker(nil)
	tracker.Apply(knowledge.Update{Items: []platform.Item{
		{Key: platform.ConfigurationKey, Value: []byte(`{"version":1,"routes":[],"services":[{"name":"engines"}],"tenants":[],"limits":{}}`), Revision: 1},
		{Key: platform.EndpointPrefix + "engine-1", Value: []byte(`{"service":"engines","address":"10.0.0.1:80","zone":"a","version":"v1","coldLeftMs":0,"slots":4,"state":"ready","sequence":1}`), Revision: 2},
	}, Full: true, Revision: 2, ConfirmedAt: clock.Now()}, clock.Now())
	if len(tracker.Snapshot().Ready["engines"]) != 1 {
		t.Fatal("the endpoint is not known")
	}
	c := &call{
		gateway: &Gateway{tracker: tracker, locationsKnown: make(chan struct{})},
		r:       httptest.NewRequest("POST", "/", nil),
		grant:   grant{service: "engines"},
		timeout: timeout,
		arrived: clock.Now(),
	}
	c.request.Prompt.Parts = []traffic.Part{{ID: 1, Tokens: longPromptTokens}, {ID: 2, Tokens: 1}}
	return c
}
