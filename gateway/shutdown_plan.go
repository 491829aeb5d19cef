package gateway

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// defaultLinger is how long new connections are still accepted after SIGTERM: the load
	// balancer stops sending callers after the second readiness probe that does not return
	// status 200.
	defaultLinger = 2600 * time.Millisecond
	// maxLingerShare is the largest share of the time until requests are aborted that linger
	// takes up. Requests that arrive last need the rest.
	maxLingerShare = 0.5
	// shutdownMargin is the time reserved before the end of the grace period, when the process
	// is killed, and maxMarginShare the largest share of the grace period that it takes up.
	shutdownMargin = 500 * time.Millisecond
	maxMarginShare = 1.0 / 8
	// defaultGracePeriod is the grace period if none is configured.
	defaultGracePeriod = 8 * time.Second
	// startSlack is how long after linger a request may still be sent that has arrived before.
	startSlack = 400 * time.Millisecond
	// deliveryMargin is the time reserved between a request's timeout and the end of the
	// requests in progress, for the delivery of the response.
	deliveryMargin = 100 * time.Millisecond
	// retryAfterElsewhere is the Retry-After value for callers that another VM can serve at once.
	retryAfterElsewhere = 10 * time.Millisecond
)

// shutdownPlan divides the grace period of a VM that is stopping. It is immutable.
type shutdownPlan struct {
	// lingerEnd is when callers are no longer expected: the load balancer has noticed that
	// the VM is not ready.
	lingerEnd clock.Boot
	// end is when requests in progress are aborted.
	end clock.Boot
}

// planShutdown returns the plan for a stop that began at began.
func planShutdown(began clock.Boot, grace, linger time.Duration) *shutdownPlan {
	if grace <= 0 {
		grace = defaultGracePeriod
	}
	span := grace - min(shutdownMargin, scale(grace, maxMarginShare))
	linger = min(linger, scale(span, maxLingerShare))
	return &shutdownPlan{lingerEnd: began.Add(linger), end: began.Add(span)}
}

// startingRequest is a request that is to be sent to an endpoint.
type startingRequest struct {
	// arrived is when the caller sent it.
	arrived clock.Boot
	// timeLeft is the rest of its timeout. bounded is false if it has none.
	timeLeft time.Duration
	bounded  bool
	// repeatable reports whether the caller may send it again after it was aborted.
	repeatable bool
	// elsewhere reports whether a caller that is refused most likely reaches a VM that takes it.
	elsewhere bool
	// expected is how long it will take at most as far as is known; 0 if nothing is known.
	expected time.Duration
}

// allows reports whether a request may be sent to an endpoint at now: if it ends in time, or if it
// arrived before the load balancer's notice and is expected to end in time, may be sent again after
// it was aborted, or would hardly be taken elsewhere.
func (p *shutdownPlan) allows(request startingRequest, now clock.Boot) bool {
	if request.bounded && now.Add(request.timeLeft+deliveryMargin) <= p.end {
		return true
	}
	if request.arrived > p.lingerEnd || now > p.lingerEnd.Add(startSlack) {
		return false
	}
	if request.repeatable || !request.elsewhere {
		return true
	}
	return request.expected > 0 && now.Add(request.expected+deliveryMargin) <= p.end
}

// checkShutdown refuses the request if this VM is stopping and may abort it. A stream of which the
// caller has a part goes on.
func (c *call) checkShutdown() error {
	plan := c.gateway.shutdown.Load()
	if plan == nil || c.headerSent {
		return nil
	}
	now := clock.Now()
	left, bounded := c.timeLeft()
	request := startingRequest{
		arrived:    c.arrived,
		timeLeft:   left,
		bounded:    bounded,
		repeatable: c.grant.route.Retryable(),
		elsewhere:  c.gateway.isServedElsewhere(now),
		expected:   c.gateway.longest.expected(c.grant.service, now),
	}
	if plan.allows(request, now) {
		return nil
	}
	after := retryAfterStale
	if request.elsewhere {
		after = retryAfterElsewhere
	}
	return code.New(code.Draining, "the VM is stopping and could abort the request").After(after)
}

// minServingShare is the share of all VMs that must accept requests for a refused caller to be
// sent to another one.
const minServingShare = 0.75

// isServedElsewhere reports whether most VMs accept requests: refused callers of VMs that stop in
// quick succession would come to the next VM that is stopping.
func (g *Gateway) isServedElsewhere(now clock.Boot) bool {
	serving := 0
	g.members.ForEachAlive(now, func(*gossip.Member) { serving++ })
	all, _ := g.members.CountAlive(now)
	return float64(serving) >= minServingShare*float64(all)
}
