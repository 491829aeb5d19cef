package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// TestRequestsWaitForTheFirstConfiguration lets a request arrive before the first configuration
// of a VM that has just started: it must wait, and find the configuration.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	raw, err := json.Marshal(hosted.DefaultConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		g := &Gateway{tracker: knowledge.NewTracker(func(*knowledge.Snapshot) {}), started: clock.Now()}
		c := &call{gateway: g, r: httptest.NewRequest("GET", "/", nil)}
		go func() {
			time.Sleep(firstConfigurationWait / 4)
			items := []platform.Item{{Key: platform.ConfigurationKey, Value: raw, Revision: 2}}
			g.tracker.Apply(knowledge.Update{Items: items, Full: true, Revision: 2, ConfirmedAt: clock.Now()}, clock.Now())
		}()
		c.awaitConfiguration()
		if g.tracker.Snapshot().Configuration == nil {
			t.Error("the request did not wait for the configuration")
		}
	})
}

// TestRequestsDoNotWaitForALostStore lets a request arrive at a VM that has had no configuration
// for long: it must not wait.
func TestRequestsDoNotWaitForALostStore(t *testing.T) {
	g := &Gateway{tracker: knowledge.NewTracker(func(*knowledge.Snapshot) {}), started: clock.Now().Add(-time.Hour)}
	c := &call{gateway: g, r: httptest.NewRequest("GET", "/", nil)}
	done := make(chan struct{})
	go func() { c.awaitConfiguration(); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Error("the request waits for a configuration that may never come")
	}
}
