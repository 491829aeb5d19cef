package gateway

import (
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/region"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// nextEndpoint picks the endpoint of the next attempt on the basis of the newest data, and uses a turn
// if it is cold. It waits for a short time while the endpoint processes the prefill of the same shared
// parts for another request.
func (c *call) nextEndpoint() (choice.Pick, error) {
	admitted := false // shed counts each call as a new request, so it is called once.
	for {
		pick, err := c.pickEndpoint()
		if err != nil {
			return pick, err
		}
		if pick.PrefillWait > 0 && c.waitForPrefill(pick.PrefillWait) {
			continue
		}
		if !admitted {
			if err := c.shed(pick); err != nil {
				return pick, err
			}
			admitted = true
		}
		if !c.gateway.warmUps.Take(pick.Endpoint, clock.Now()) {
			continue // Another request has used the turn since the choice.
		}
		c.triedEndpoints = append(c.triedEndpoints, pick.Endpoint.ID)
		if shared := c.request.Prompt.SharedTokens(); shared > 0 {
			read := min(shared, pick.PrefillTokens)
			c.gateway.metrics.AddPromptTokens(shared-read, read)
		}
		return pick, nil
	}
}

// pickEndpoint picks an endpoint without waiting.
func (c *call) pickEndpoint() (choice.Pick, error) {
	snapshot := c.gateway.tracker.Snapshot()
	if err := c.checkPermitted(snapshot); err != nil {
		return choice.Pick{}, err
	}
	now := clock.Now()
	pick, ok := c.choose(snapshot, now)
	c.gateway.metrics.ObserveChoice(clock.Now().Sub(now))
	if !ok {
		return pick, c.noEndpoint(snapshot, now)
	}
	return pick, nil
}

// errOlderGrant is the cause of a refused retry that the configuration of the attempt before allowed.
var errOlderGrant = code.New(code.OutcomeUnknown, "the configuration has changed since the last attempt")

// checkPermitted returns the reason why the request may not be sent to any endpoint, or nil. It
// updates the grant.
func (c *call) checkPermitted(snapshot *knowledge.Snapshot) error {
	if c.callerLeft() {
		return errCallerGone()
	}
	if err := c.authorize(snapshot); err != nil {
		return err
	}
	if err := c.checkRepeat(errOlderGrant); err != nil {
		return err
	}
	if err := c.checkShutdown(); err != nil {
		return err
	}
	if err := c.checkQuarantine(); err != nil {
		return err
	}
	if left, bounded := c.timeLeft(); bounded && left <= 0 {
		return code.New(code.DeadlineExceeded, "the timeout has expired")
	}
	return nil
}

// choose picks an endpoint that was not tried yet. It returns false if none is left.
func (c *call) choose(snapshot *knowledge.Snapshot, now clock.Boot) (choice.Pick, bool) {
	candidates := snapshot.Ready[c.grant.service]
	limited, anyCold := c.gateway.limits.InForce() > 0, c.gateway.warmUps.AnyCold(now)
	regions := c.regions()
	inAllowedRegion := func(endpoint *traffic.Endpoint) bool { return regions.Allows(c.gateway.regionOf(endpoint)) }
	excluded := func(id string) bool {
		return slices.Contains(c.triedEndpoints, id) ||
			limited && !c.gateway.limits.Allows(snapshot.Endpoints[id], now) ||
			anyCold && !c.gateway.warmUps.Allows(snapshot.Endpoints[id], now) ||
			regions.Restricts() && !inAllowedRegion(snapshot.Endpoints[id])
	}
	request := choice.Request{Prompt: &c.request.Prompt, Objective: c.grant.route.LatencyObjective, Once: c.lastExecution()}
	if regions.Restricts() {
		request.AllowsSource = inAllowedRegion
	}
	return c.gateway.table.Pick(candidates, request, excluded, now)
}

// regions returns the regions in which the request may be executed.
func (c *call) regions() region.Restriction {
	var workspace []string
	if c.grant.workspace != nil {
		workspace = c.grant.workspace.Regions
	}
	return region.NewRestriction(c.grant.route.Regions, workspace)
}

// regionOf returns the region of an endpoint, "" if the settings don't name the one of its failure domain.
func (g *Gateway) regionOf(endpoint *traffic.Endpoint) string {
	return g.settings.Regions[endpoint.FailureDomain]
}

// allowedEndpoints returns those of the given endpoints that are in the regions in which the request may be executed.
func (c *call) allowedEndpoints(endpoints []*traffic.Endpoint) []*traffic.Endpoint {
	regions := c.regions()
	if !regions.Restricts() {
		return endpoints
	}
	var allowed []*traffic.Endpoint
	for _, endpoint := range endpoints {
		if regions.Allows(c.gateway.regionOf(endpoint)) {
			allowed = append(allowed, endpoint)
		}
	}
	return allowed
}

// noEndpoint returns the refusal of a request for which no endpoint is left.
func (c *call) noEndpoint(snapshot *knowledge.Snapshot, now clock.Boot) error {
	ready := snapshot.Ready[c.grant.service]
	allowed := c.allowedEndpoints(ready)
	if len(allowed) == 0 && len(ready) > 0 {
		return code.New(code.RegionEmpty, "no endpoint of the service is in an allowed region").After(retryAfterStale)
	}
	if after, limited := c.gateway.warmUps.RetryAfter(c.grant.service, allowed, now); limited {
		c.gateway.shedders.forService(c.grant.service).RecordRejected(now)
		return code.New(code.EndpointsCold, "all endpoints of the service are cold and take no more requests now").After(after)
	}
	after, limited := c.gateway.limits.RetryAfter(c.grant.service, allowed, now)
	if !limited {
		if c.allEvacuated(snapshot) {
			return code.New(code.NoEndpoint, "all endpoints of the service are in evacuated failure domains").After(retryAfterStale)
		}
		return code.New(code.NoEndpoint, "no endpoint of the service is available").After(c.retryAfterBackoff(snapshot, now))
	}
	c.gateway.shedders.forService(c.grant.service).RecordRejected(now)
	return code.New(code.EndpointLimits, "all endpoints of the service have named limits that are reached").After(after)
}

// allEvacuated reports whether no endpoint of the service accepts requests and evacuations are a reason.
func (c *call) allEvacuated(snapshot *knowledge.Snapshot) bool {
	if len(snapshot.Evacuated) == 0 || len(snapshot.Ready[c.grant.service]) > 0 {
		return false
	}
	for _, endpoint := range snapshot.Endpoints {
		if endpoint.Service == c.grant.service && snapshot.IsEvacuated(endpoint) {
			return true
		}
	}
	return false
}

// retryAfterBackoff returns when a caller for whom no endpoint is left should retry: when the
// first endpoint accepts requests again, if all have requested a backoff.
func (c *call) retryAfterBackoff(snapshot *knowledge.Snapshot, now clock.Boot) time.Duration {
	backoff := c.gateway.table.BackoffRemaining(snapshot.Ready[c.grant.service], now)
	if backoff == 0 {
		return retryAfterStale
	}
	return max(backoff, retryAfterShort)
}

const (
	// prefillWaitShare is the share of the latency objective that a request waits at most for
	// the prefill of its shared parts. defaultPrefillWait is the limit for routes without an
	// objective.
	prefillWaitShare   = 0.45
	defaultPrefillWait = 300 * time.Millisecond
	// prefillPollInterval is the interval between two checks.
	prefillPollInterval = 10 * time.Millisecond
)

// waitForPrefill waits for one poll interval. It returns false if the request has waited long
// enough.
func (c *call) waitForPrefill(remaining time.Duration) bool {
	limit := defaultPrefillWait
	if objective := c.grant.route.LatencyObjective; objective > 0 {
		limit = scale(objective, prefillWaitShare)
	}
	if c.prefillWaited >= limit {
		return false
	}
	began := clock.Now()
	clock.Sleep(c.r.Context(), min(remaining, prefillPollInterval))
	c.prefillWaited += clock.Now().Sub(began)
	return true
}
