package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// defaultMultiple stands for a multiple that is not told.
	defaultMultiple = 2.0
	// caution is the part of the allowed excess over the mean that is used; the
	// rest is for work that other VMs have not told of yet.
	caution = 0.6
	// spareRequests is added to the bound, so that a nearly idle fleet can place.
	spareRequests = 2
	// readTokensPerMS is the assumed speed at which engines read prompts.
	readTokensPerMS = 50.0
	// copyTokensPerMS and copySetUpMS are the same for copies from another engine.
	copyTokensPerMS = 1000.0
	copySetUpMS     = 10.0
	// runningMS is what one request in progress at an engine costs the next one.
	runningMS = 2.0
	// plainRequestMS is the same at a plain service, per slot.
	plainRequestMS = 30.0
	// otherDomainMS is the cost of another failure domain.
	otherDomainMS = 3.0
	// faultMS is the cost of an endpoint that fails all requests.
	faultMS = 2000.0
	// faultFloor is the part of failed requests that is normal.
	faultFloor = 0.25
)

// Reason tells why an endpoint was picked.
type Reason string

// The reasons.
const (
	ReasonHeld  Reason = "held"
	ReasonRank  Reason = "rank"
	ReasonSpill Reason = "spill"
	ReasonLoad  Reason = "load"
	ReasonLast  Reason = "last"
)

// Pick is a chosen endpoint with what decided.
type Pick struct {
	Endpoint *traffic.Endpoint
	Reason   Reason
	// Load is the estimated work in progress there, Mean that of the service.
	Load int
	Mean float64
	// BacklogMS is how long the service's endpoints have to read on average, before
	// this request's prompt.
	BacklogMS float64
	// Missing is the number of shared prompt tokens not known to be there.
	MissingTokens int
	// Reading is the number of prompt tokens that the endpoint has to read.
	PrefillTokens int
	// DelayMS is the estimated time until the endpoint has read the prompt.
	DelayMS float64
	// Unread is how long the endpoint may still read the shared parts for another
	// request: one that came at once would have them read twice.
	PrefillWait time.Duration
	// FetchFrom holds more of the shared parts than Endpoint, nil if none does.
	FetchFrom *traffic.Endpoint
}

// Pick chooses one of the candidates for a request; excluded ones are left out.
// ok is false if none is left.
//
// objective is the time in which the first piece of the answer is wanted; 0
// means that it does not matter.
func (t *Table) Pick(candidates []*traffic.Endpoint, prompt *traffic.Prompt, objective time.Duration, excluded func(id string) bool, now clock.Boot) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.newChooser(prompt, objective, now)
	c.survey(candidates, excluded)
	t.options = c.options
	if c.usable == 0 {
		return Pick{}, false
	}
	return c.best(), true
}

// bound is the largest load at which an endpoint still takes a request.
func (c *chooser) bound() float64 {
	mean := c.mean()
	return mean + caution*(c.table.multiple-1)*mean + spareRequests
}

func (c *chooser) mean() float64 {
	return float64(c.total) / float64(len(c.options))
}

// best returns the cheapest candidate.
func (c *chooser) best() Pick {
	bound := c.bound()
	chosen, least := -1, 0.0
	for i := range c.options {
		o := &c.options[i]
		if o.excluded {
			continue
		}
		cost := c.cost(o, bound)
		if chosen < 0 || cost < least {
			chosen, least = i, cost
		}
	}
	o := &c.options[chosen]
	c.guessSource(o)
	return Pick{
		Endpoint:      o.endpoint,
		Reason:        c.reason(o, bound),
		Load:          o.load,
		Mean:          c.mean(),
		BacklogMS:     float64(c.backlog) / float64(len(c.options)) / readTokensPerMS,
		MissingTokens: o.missing,
		PrefillTokens: o.reading,
		DelayMS:       o.delayMS,
		PrefillWait:   c.unread(o),
		FetchFrom:     o.source,
	}
}

// unread returns how long the last shared part may not be read yet at a
// candidate that is known to have been sent it.
func (c *chooser) unread(o *option) time.Duration {
	if !c.holdsLast(o.state) {
		return 0
	}
	parts := c.sharedParts()
	at := c.table.parts.find(parts[len(parts)-1].ID, o.endpoint.ID)
	if at == nil {
		return 0
	}
	return max(0, at.due.Sub(c.now))
}

func (c *chooser) reason(o *option, bound float64) Reason {
	switch {
	case o.avoided || o.leaving || float64(o.load) > bound:
		return ReasonLast
	case len(c.prompt.Parts) == 0:
		return ReasonLoad
	case c.known && c.holdsLast(o.state):
		return ReasonHeld
	case !c.known && o == c.likely:
		return ReasonRank
	default:
		return ReasonSpill
	}
}
