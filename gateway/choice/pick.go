package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// defaultMultiple is used if no load multiple above 1 is configured.
	defaultMultiple = 2.0
	// boundUtilization is the share of the allowed excess over the mean load that is
	// used. The rest is headroom for work that other VMs have not reported yet.
	boundUtilization = 0.6
	// spareRequests is added to the load bound, which would be too tight to serve
	// requests in a nearly idle fleet.
	spareRequests = 2
	// prefillTokensPerMS is the speed at which a backlog of prompt tokens is weighed.
	prefillTokensPerMS = 50.0
	// copyTokensPerMS and copySetupMS are the assumed speed and setup time of copies from
	// another engine.
	copyTokensPerMS = 1000.0
	copySetupMS     = 10.0
	// activeRequestMS is the cost of each request in progress at an engine.
	activeRequestMS = 2.0
	// plainRequestMS is the same for requests without prompt parts, divided by the
	// endpoint's slots.
	plainRequestMS = 30.0
	// crossDomainMS is the cost of an endpoint in another failure domain than this VM's.
	crossDomainMS = 3.0
)

// Reason is why an endpoint was picked. Its values appear in logs and JSON.
type Reason string

const (
	// ReasonHeld means that the endpoint holds all shared parts of the prompt.
	ReasonHeld Reason = "held"
	// ReasonRank means that no endpoint is known to hold the last shared part and this one
	// ranks first for it.
	ReasonRank Reason = "rank"
	// ReasonSpill means that the holder or first-ranked endpoint cost more or was excluded.
	ReasonSpill Reason = "spill"
	// ReasonLoad means that the request has no prompt parts, so the load decided.
	ReasonLoad Reason = "load"
	// ReasonLast means that the endpoint is avoided, leaving, warming up or above the load bound, and
	// no better one was left.
	ReasonLast Reason = "last"
)

// Pick is a chosen endpoint with the figures behind the choice.
type Pick struct {
	Endpoint *traffic.Endpoint
	Reason   Reason
	// Load is the estimated number of requests in progress there, Mean the mean of all
	// candidates.
	Load int
	Mean float64
	// UsableMean is the mean load of the candidates that are not excluded, and BacklogMS the
	// mean time that these still need to prefill earlier prompts, in milliseconds.
	UsableMean float64
	BacklogMS  float64
	// MissingTokens is the number of shared prompt tokens that the endpoint is not known
	// to hold.
	MissingTokens int
	// PrefillTokens is the number of prompt tokens that the endpoint has to prefill.
	PrefillTokens int
	// BacklogTokens is the same together with those of earlier requests.
	BacklogTokens int
	// DelayMS is the estimated time until the endpoint begins the answer.
	DelayMS float64
	// PrefillWait is how long the endpoint may still be prefilling the shared parts for
	// another request. A request sent before that would have them prefilled twice.
	PrefillWait time.Duration
	// Avoided reports whether the endpoint is being avoided for a while, as all others are too.
	Avoided bool
	// FetchFrom is an endpoint to copy shared parts from, nil if there is none.
	FetchFrom *traffic.Endpoint
	// FaultPercent is the estimated chance that the attempt fails, in percent.
	FaultPercent int
	// Contention is how long work is expected to take on the endpoint's host, as a multiple of the usual time.
	Contention float64
	// Passed says what was passed over for an endpoint whose load is above the mean, nil for others.
	Passed *Passed
}

// Pick chooses the cheapest candidate for a request, leaving out those for which
// excluded returns true. It returns false if none is left.
//
// The list of candidates must not be changed afterwards: the table caches what it knows of
// them by the list's first element.
func (t *Table) Pick(candidates []*traffic.Endpoint, request Request, excluded func(id string) bool, now clock.Boot) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.newChooser(request, now)
	c.draw = t.random.Float64()
	c.evaluate(candidates, excluded)
	t.scratch = c.options
	if c.usable == 0 {
		return Pick{}, false
	}
	return c.best(), true
}

// loadBound returns the load above which an endpoint gets no request while another one
// is below it.
func (c *chooser) loadBound() float64 {
	meanLoad := c.mean()
	return meanLoad + boundUtilization*(c.table.loadMultiple-1)*meanLoad + spareRequests
}

// mean returns the mean load of the candidates.
func (c *chooser) mean() float64 {
	return float64(c.totalLoad) / float64(len(c.options))
}

// best returns the cheapest option. At least one must not be excluded.
func (c *chooser) best() Pick {
	bound := c.loadBound()
	chosen, lowest := -1, 0.0
	for i := range c.options {
		o := &c.options[i]
		if o.excluded {
			continue
		}
		cost := c.cost(o, bound)
		if chosen < 0 || cost < lowest {
			chosen, lowest = i, cost
		}
	}
	o := &c.options[chosen]
	c.predictSource(o)
	return Pick{
		FaultPercent:  int(o.failure * 100),
		Contention:    o.contention,
		Passed:        c.passedOver(o, bound),
		Endpoint:      o.endpoint,
		Reason:        c.reason(o, bound),
		Load:          o.load,
		Mean:          c.mean(),
		UsableMean:    float64(c.usableLoad) / float64(c.usable),
		BacklogMS:     float64(c.backlogTokens) / float64(c.usable) / prefillTokensPerMS,
		MissingTokens: o.missingTokens,
		PrefillTokens: o.prefillTokens,
		BacklogTokens: o.backlogTokens,
		DelayMS:       o.delayMS,
		PrefillWait:   c.prefillWait(o),
		Avoided:       o.avoided,
		FetchFrom:     o.source,
	}
}

// prefillWait returns how long a candidate that was sent the last shared part may still
// be prefilling it, 0 if it is done.
func (c *chooser) prefillWait(o *option) time.Duration {
	if !c.holdsLastPart(o.state) {
		return 0
	}
	parts := c.sharedParts()
	at := c.table.partIndex.find(parts[len(parts)-1].ID, o.endpoint.ID)
	if at == nil {
		return 0
	}
	return max(0, at.prefillDue.Sub(c.now))
}

// reason returns the reason for picking an option.
func (c *chooser) reason(o *option, bound float64) Reason {
	switch {
	case o.avoided || o.leaving || o.warmingUp || c.overBound(o, bound):
		return ReasonLast
	case len(c.prompt.Parts) == 0:
		return ReasonLoad
	case c.lastPartKnown && c.holdsLastPart(o.state):
		return ReasonHeld
	case !c.lastPartKnown && o == c.predicted:
		return ReasonRank
	default:
		return ReasonSpill
	}
}
