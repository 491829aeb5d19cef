package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// maxLocationWait bounds how long a request with a long shared prompt waits for the locations
	// of its parts. A prefill of these parts would take as long. Requests no longer wait once
	// endpoints have been known for this time.
	maxLocationWait = 200 * time.Millisecond
	// longPromptTokens is the number of shared tokens from which a request waits.
	longPromptTokens = 1000
)

// awaitLocations delays a request with a long shared prompt that arrives just after the start of the VM
// until the locations of prompt parts are learned, at most for maxLocationWait and within the request's
// timeout.
func (c *call) awaitLocations() {
	if !c.gateway.awaitsLocations(&c.request.Prompt, c.gateway.tracker.Snapshot().Ready[c.grant.service]) {
		return
	}
	limit := maxLocationWait
	if left, bounded := c.timeLeft(); bounded {
		limit = min(limit, left)
	}
	began := clock.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.gateway.locationsKnown:
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	c.locationWait = clock.Now().Sub(began)
}

// awaitsLocations reports whether a request with the given prompt waits for the locations of its parts.
// Without an endpoint it does not, as it is then refused.
func (g *Gateway) awaitsLocations(prompt *traffic.Prompt, endpoints []*traffic.Endpoint) bool {
	select {
	case <-g.locationsKnown:
		return false
	default:
		return len(endpoints) > 0 && prompt.SharedTokens() >= longPromptTokens
	}
}
