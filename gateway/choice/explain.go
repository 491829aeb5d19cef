package choice

import (
	"cmp"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Candidate is an endpoint as a choice would see it now.
type Candidate struct {
	Endpoint      string `json:"endpoint"`
	FailureDomain string `json:"failure_domain"`
	// Reason is why it would be picked.
	Reason Reason `json:"reason"`
	// CostMS is what decides, in milliseconds; the least goes first.
	CostMS float64 `json:"cost_ms"`
	// Load is the estimated number of requests there.
	Load int `json:"load"`
	// Missing is the number of shared prompt tokens not known to be there, Reading
	// that of the tokens that it would read, and DelayMS how long that takes.
	MissingTokens int     `json:"missing"`
	PrefillTokens int     `json:"reading"`
	DelayMS       float64 `json:"delay_ms"`
	// FetchFrom is where it would copy from, "" if nowhere.
	FetchFrom    string `json:"fetch_from,omitempty"`
	FaultPercent int    `json:"fault_percent"`
	Avoided      bool   `json:"avoided"`
	// Leaving tells that it has said that it is about to stop, Barred that no new
	// request goes there.
	Leaving  bool `json:"leaving,omitempty"`
	Excluded bool `json:"barred,omitempty"`
}

// Explain returns the candidates for a prompt in the order in which a choice
// would take them. Nothing is counted or remembered.
func (t *Table) Explain(candidates []*traffic.Endpoint, prompt *traffic.Prompt, objective time.Duration, now clock.Boot) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.newChooser(prompt, objective, now)
	c.survey(candidates, func(string) bool { return false })
	bound := c.bound()
	all := make([]Candidate, 0, len(c.options))
	for i := range c.options {
		all = append(all, c.describe(&c.options[i], bound))
	}
	slices.SortStableFunc(all, func(a, b Candidate) int {
		if a.Excluded != b.Excluded {
			return cmp.Compare(rankBarred(a), rankBarred(b))
		}
		return cmp.Compare(a.CostMS, b.CostMS)
	})
	return all
}

// rankBarred puts the candidates that get no request last.
func rankBarred(c Candidate) int {
	if c.Excluded {
		return 1
	}
	return 0
}

func (c *chooser) describe(o *option, bound float64) Candidate {
	candidate := Candidate{
		Endpoint:      o.endpoint.ID,
		FailureDomain: o.endpoint.FailureDomain,
		CostMS:        c.cost(o, bound),
		Reason:        c.reason(o, bound),
		Load:          o.load,
		MissingTokens: o.missing,
		PrefillTokens: o.reading,
		DelayMS:       o.delayMS,
		FaultPercent:  int(o.faults * 100),
		Avoided:       o.avoided,
		Leaving:       o.leaving,
		Excluded:      o.excluded,
	}
	c.guessSource(o)
	if o.source != nil {
		candidate.FetchFrom = o.source.ID
	}
	return candidate
}
