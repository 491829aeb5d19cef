package choice

import (
	"cmp"
	"math"
	"slices"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Candidate describes how one endpoint would be rated for a request now.
type Candidate struct {
	Endpoint      string `json:"endpoint"`
	FailureDomain string `json:"failure_domain"`
	// Reason is the reason that a Pick of this endpoint would have.
	Reason Reason `json:"reason"`
	// CostMS is the estimated cost in milliseconds of delay. The lowest is picked.
	CostMS float64 `json:"cost_ms"`
	// Load is the estimated number of requests in progress at the endpoint.
	Load int `json:"load"`
	// MissingTokens is the number of shared prompt tokens that the endpoint is not known
	// to hold, PrefillTokens the number of tokens that it would have to prefill, and
	// DelayMS the estimated time until it begins an answer.
	MissingTokens int     `json:"missing"`
	PrefillTokens int     `json:"reading"`
	DelayMS       float64 `json:"delay_ms"`
	// FetchFrom is the ID of the endpoint from which shared parts would be copied, "" if
	// there is none.
	FetchFrom string `json:"fetch_from,omitempty"`
	// FaultPercent is the estimated chance that a request fails, in percent, and Outcomes
	// the number of recent requests of all VMs that it rests on.
	FaultPercent int     `json:"fault_percent"`
	Outcomes     float64 `json:"outcomes"`
	// Slowness is how long the endpoint takes to begin an answer, as a multiple of what is
	// expected of its service.
	Slowness float64 `json:"slowness"`
	// Contention is how long work is expected to take on the endpoint's host now, as a multiple of what hosts of the
	// service usually state.
	Contention float64 `json:"contention"`
	// Avoided reports whether the endpoint is being avoided for a while.
	Avoided bool `json:"avoided"`
	// Leaving reports whether the endpoint has announced that it is about to stop,
	// Excluded whether it gets no new requests.
	Leaving  bool `json:"leaving,omitempty"`
	Excluded bool `json:"barred,omitempty"`
}

// Explain returns the candidates for a prompt in the order in which Pick would prefer
// them. It does not change what later choices see.
func (t *Table) Explain(candidates []*traffic.Endpoint, request Request, now clock.Boot) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.newChooser(request, now)
	c.evaluate(candidates, func(string) bool { return false })
	bound := c.loadBound()
	all := make([]Candidate, 0, len(c.options))
	for i := range c.options {
		all = append(all, c.describe(&c.options[i], bound))
	}
	slices.SortStableFunc(all, func(a, b Candidate) int {
		if a.Excluded != b.Excluded {
			return cmp.Compare(exclusionOrder(a), exclusionOrder(b))
		}
		return cmp.Compare(a.CostMS, b.CostMS)
	})
	return all
}

// exclusionOrder returns a sort key that puts excluded candidates last.
func exclusionOrder(c Candidate) int {
	if c.Excluded {
		return 1
	}
	return 0
}

// describe returns the exported description of an evaluated option.
func (c *chooser) describe(o *option, bound float64) Candidate {
	candidate := Candidate{
		Endpoint:      o.endpoint.ID,
		FailureDomain: o.endpoint.FailureDomain,
		CostMS:        c.cost(o, bound),
		Reason:        c.reason(o, bound),
		Load:          o.load,
		MissingTokens: o.missingTokens,
		PrefillTokens: o.prefillTokens,
		DelayMS:       o.delayMS,
		FaultPercent:  int(o.failure * 100),
		Outcomes:      math.Round(10*o.outcomes.Total()) / 10,
		Slowness:      math.Round(100*o.slowness) / 100,
		Contention:    math.Round(100*o.contention) / 100,
		Avoided:       o.avoided,
		Leaving:       o.leaving,
		Excluded:      o.excluded,
	}
	c.predictSource(o)
	if o.source != nil {
		candidate.FetchFrom = o.source.ID
	}
	return candidate
}
