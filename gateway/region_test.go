package gateway

import (
	"context"
	"net/http"
	"testing"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestRequestStaysInAllowedRegions restricts a route and a workspace to regions. It guards against requests that run
// elsewhere, and against refusals while an allowed region has endpoints.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	f := newTestFleet(t, 1)
	g := f.gateways[0]
	ownRegion := g.settings.Regions[g.tracker.Snapshot().Endpoints["plain-1"].FailureDomain]
	version := int64(100)
	for _, c := range []struct {
		route, workspace []string
		status           int
	}{
		{[]string{ownRegion}, nil, http.StatusOK},
		{[]string{"elsewhere"}, nil, http.StatusServiceUnavailable},
		{nil, []string{"elsewhere"}, http.StatusServiceUnavailable},
		{[]string{ownRegion}, []string{"elsewhere"}, http.StatusServiceUnavailable},
		{[]string{"elsewhere", ownRegion}, []string{ownRegion}, http.StatusOK},
	} {
		version++
		f.publish(version, func(configuration *hosted.Configuration) {
			for i := range configuration.Routes {
				configuration.Routes[i].AllowedRegions = c.route
			}
			for i := range configuration.Tenants {
				configuration.Tenants[i].AllowedRegions = c.workspace
			}
		})
		f.eventually("the configuration is in force", func() bool { return g.configVersion() == version })
		got := f.ask(context.Background(), 1, query{path: "/deposit/1", body: "work"})
		if got.status != c.status || got.status != http.StatusOK && (got.header.Get("Retry-After") == "" || f.executions(got.id) > 0) {
			t.Errorf("route %v, workspace %v: status %d, Retry-After %q, %d runs", c.route, c.workspace, got.status, got.header.Get("Retry-After"), f.executions(got.id))
		}
	}
}
