package gateway

import (
	"fmt"
	"testing"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// newColdFleet starts a VM whose plain endpoints are a cold one, in the VM's region, that takes a request per second, and
// a warm one in a failure domain of no region. Requests may only be executed in the VM's region.
func newColdFleet(t *testing.T) *testFleet {
	f := startTestFleet(t, 1, true)
	for number, id := range plainWorkers {
		domain, left := "domain-a", 60_000
		if number > 0 {
			domain, left = "domain-elsewhere", 0
		}
		f.store.Put(platform.EndpointPrefix+id, fmt.Appendf(nil, `{"service":"plain","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldLeftMs":%d,"born":1764900000000,"sequence":1}`, f.address(110+number, workerPort), domain, left))
	}
	f.publish(2, func(configuration *hosted.Configuration) {
		configuration.Services[1].ColdPerS, configuration.Services[1].ColdStartS = 1, 60
		for i := range configuration.Routes {
			configuration.Routes[i].AllowedRegions = []string{"region-a"}
		}
	})
	f.eventually("one endpoint is cold", func() bool {
		return f.gateways[0].configVersion() == 2 && f.gateways[0].warmUps.Cold(clock.Now()) == 1
	})
	return f
}

// TestConcurrentRequestsShareTurns picks an endpoint for a second request before the first one is sent. It guards against
// requests that arrive together and all use the same turn at a cold endpoint, and against a refusal with another code
// because an endpoint in a forbidden region is warm.
func TestConcurrentRequestsShareTurns(t *testing.T) {
	f := newColdFleet(t)
	next := func() (*exchange, error) { return f.newCall(query{path: "/lookup/1"}).newExchange() }
	f.eventually("a request has a turn", func() bool {
		x, err := next()
		return err == nil && x.pick.Endpoint.ID == plainWorkers[0]
	})
	if x, err := next(); err == nil {
		t.Errorf("a second request goes to %s", x.pick.Endpoint.ID)
	} else if got := code.Of(err); got.Code != code.EndpointsCold || got.RetryAfterMS == 0 {
		t.Errorf("refused with %+v, want code %d with a retry time", got, code.EndpointsCold)
	}
}
