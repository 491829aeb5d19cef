package gateway

import (
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

const readinessPattern = "GET " + platform.ReadinessPath

// errRequestsAborted reports that the shutdown aborted requests in progress.
var errRequestsAborted = code.New(code.Draining, "requests in progress were aborted")

// readyLeaseShare is the share of the key lease for which a VM without a confirmed
// configuration stays ready.
const readyLeaseShare = 0.6

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the load balancer should send callers to this VM.
func (g *Gateway) ready() bool {
	if g.stopping.Load() || g.tracker.Snapshot().Configuration == nil {
		return false
	}
	lease := g.bounds.Load().KeyLease
	if !g.bounds.Load().StrictRevoke || lease <= 0 {
		return true
	}
	age := g.tracker.Age(clock.Now())
	return float64(age) < readyLeaseShare*float64(lease)
}
