package choice

import (
	"cmp"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/traffic"
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
	// Missing is the number of shared prompt tokens not known to be there.
	Missing int
	// Reading is the number of prompt tokens that the endpoint has to read.
	Reading int
	// DelayMS is the estimated time until the endpoint has read the prompt.
	DelayMS float64
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
	c := chooser{table: t, prompt: prompt, objectiveMS: float64(objective) / float64(time.Millisecond), now: now}
	c.survey(candidates, excluded)
	if c.usable == 0 {
		return Pick{}, false
	}
	return c.best(), true
}

// chooser compares the candidates of one request.
type chooser struct {
	table  *Table
	prompt *traffic.Prompt
	// objectiveMS is when the first piece of the answer is wanted, in ms.
	objectiveMS float64
	now         clock.Boot

	options []option
	usable  int
	total   int
	// known tells that some candidate holds the last shared part.
	known bool
	// places are where each shared part is held, sources what can be copied from.
	places  [][]place
	sources []source
	// floor is the least part of failed requests among the candidates.
	floor float64
}

func (c *chooser) survey(candidates []*traffic.Endpoint, excluded func(string) bool) {
	c.options = make([]option, 0, len(candidates))
	key, shared := c.sharedKey()
	for _, part := range c.sharedParts() {
		c.places = append(c.places, c.table.parts.of(part.ID))
	}
	c.findSources()
	c.floor = 1
	for _, endpoint := range candidates {
		known := c.table.state(endpoint.ID)
		o := option{
			endpoint: endpoint,
			state:    known,
			load:     known.load(c.now),
			avoided:  c.now < known.avoidUntil,
			excluded: excluded(endpoint.ID),
			faults:   known.faultShare(c.now),
		}
		c.total += o.load
		if shared {
			o.missing = c.missing(endpoint.ID)
			c.known = c.known || c.holdsLast(endpoint.ID)
		}
		if !o.excluded {
			c.usable++
			c.floor = min(c.floor, o.faults)
		}
		c.options = append(c.options, o)
	}
	if shared && !c.known {
		c.setPositions(key)
	}
	for i := range c.options {
		c.estimate(&c.options[i])
	}
}

// setPositions ranks the candidates for the shared parts. Load does not change
// the order, so that VMs that know nothing yet agree on it.
func (c *chooser) setPositions(key string) {
	order := make([]*option, 0, len(c.options))
	for i := range c.options {
		if o := &c.options[i]; !o.excluded && !o.avoided {
			o.draw = rank.Key(key, o.endpoint.ID)
			order = append(order, o)
		}
	}
	slices.SortFunc(order, func(a, b *option) int { return cmp.Compare(b.draw, a.draw) })
	for position, o := range order {
		o.position = position
	}
}

// estimate sets what the endpoint would have to read and how long that takes.
func (c *chooser) estimate(o *option) {
	if len(c.prompt.Parts) == 0 {
		return
	}
	o.reading = o.missing + c.ownTokens()
	copyMS := 0.0
	o.source = c.fetchFrom(o)
	if o.source != nil {
		left := c.missing(o.source.ID)
		copyMS = copySetUpMS + float64(o.missing-left)/copyTokensPerMS
		o.reading = left + c.ownTokens()
	}
	backlog := o.state.reading + o.state.peersReading + o.reading
	o.delayMS = copyMS + float64(backlog)/readTokensPerMS
}

// ownTokens is the size of the request's own part.
func (c *chooser) ownTokens() int {
	parts := c.prompt.Parts
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// sharedParts are the parts before the request's own one.
func (c *chooser) sharedParts() []traffic.Part {
	parts := c.prompt.Parts
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}

// sharedKey identifies the last shared part.
func (c *chooser) sharedKey() (string, bool) {
	parts := c.sharedParts()
	if len(parts) == 0 {
		return "", false
	}
	var digest [8]byte
	last := parts[len(parts)-1].ID
	for i := range digest {
		digest[i] = byte(last >> (8 * i))
	}
	return string(digest[:]), true
}

// missing returns the shared tokens behind the last part that the endpoint is
// known to hold. Whoever holds a part has read all parts before it.
func (c *chooser) missing(id string) int {
	parts := c.sharedParts()
	lacking := 0
	for i := len(parts) - 1; i >= 0; i-- {
		if holds(c.places[i], id) {
			return lacking
		}
		lacking += parts[i].Tokens
	}
	return lacking
}

func holds(places []place, id string) bool {
	for i := range places {
		if places[i].endpoint == id {
			return true
		}
	}
	return false
}

func (c *chooser) holdsLast(id string) bool {
	return holds(c.places[len(c.places)-1], id)
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
	return Pick{
		Endpoint:  o.endpoint,
		Reason:    c.reason(o, bound),
		Load:      o.load,
		Mean:      c.mean(),
		Missing:   o.missing,
		Reading:   o.reading,
		DelayMS:   o.delayMS,
		FetchFrom: o.source,
	}
}

func (c *chooser) reason(o *option, bound float64) Reason {
	switch {
	case o.avoided || float64(o.load) > bound:
		return ReasonLast
	case len(c.prompt.Parts) == 0:
		return ReasonLoad
	case c.known && c.holdsLast(o.endpoint.ID):
		return ReasonHeld
	case !c.known && o.position == 0:
		return ReasonRank
	default:
		return ReasonSpill
	}
}
