package choice

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/gateway/contention"
	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// newChooser returns the chooser for one request. The caller holds t.mu for as long as
// the chooser is used.
func (t *Table) newChooser(request Request, now clock.Boot) *chooser {
	t.choiceSerial++
	objectiveMS := float64(request.Objective) / float64(time.Millisecond)
	return &chooser{table: t, prompt: request.Prompt, objectiveMS: objectiveMS, once: request.Once, allowsSource: request.AllowsSource, now: now, options: t.scratch[:0]}
}

// chooser compares the candidates of one request. It is valid only while the table's
// lock is held.
type chooser struct {
	table  *Table
	prompt *traffic.Prompt
	// objectiveMS is the request's time-to-first-token objective, 0 if it has none.
	objectiveMS float64
	// once reports whether the request is lost if this attempt fails.
	once bool
	// allowsSource reports whether prompt parts may be copied from an endpoint; nil allows all.
	allowsSource func(*traffic.Endpoint) bool
	now          clock.Boot

	options []option
	// usable is the number of options that are not excluded, usableLoad their load, and
	// backlogTokens the number of prompt tokens that they have still to prefill. totalLoad is
	// the load of all options.
	usable        int
	usableLoad    int
	backlogTokens int
	totalLoad     int
	// ownLoad is the number of this VM's requests in totalLoad.
	ownLoad int
	// draw is a random number below 1, 0 if nothing is sent.
	draw float64
	// unseen is the number of requests that other VMs have probably sent to each sound candidate
	// since they reported.
	unseen float64
	// sharedTokens is the number of tokens in the shared parts of the prompt.
	sharedTokens int
	// lastPartKnown reports whether some candidate holds the last shared part.
	lastPartKnown bool
	// sources are the endpoints from which shared parts can be copied.
	sources []source
	// predicted is the candidate that ranks first for the last shared part when no
	// holder is known. Other VMs rank alike, so the part is probably there.
	predicted *option
	// delays are the learned delays of the service.
	delays *estimate.DelayModel
	// failures compares the outcomes of the candidates.
	failures estimate.Failures
	// lowestFailure is the lowest failure probability of the usable candidates. Failures
	// common to all endpoints of a service don't count against one.
	lowestFailure float64
	// peerShare is the number of requests that all other VMs probably send for each request of this VM, by
	// their work in progress. A VM that has just started counts the others as equal.
	peerShare float64
	// strictBound is the load that no endpoint should exceed, with the requests that other VMs have not
	// reported yet. It is set like unseen and peerShare only if herding is true.
	strictBound float64
	// herding reports whether all VMs prefer the same candidates, as the outcomes differ, although few
	// newest requests fail.
	herding bool
	// troubled reports whether many of this VM's newest requests to the service failed. Its few sound
	// endpoints may then get more than the strict bound.
	troubled bool
	// commonSlowness is the median slowness of the candidates, at least 1. Slowness common to most
	// endpoints of a service comes from its load, and does not count against one.
	commonSlowness float64
	// commonContention is what hosts of the service usually state, at least 1.
	commonContention float64
}

// evaluate fills c.options with the load, health and estimated delay of each candidate.
func (c *chooser) evaluate(candidates []*traffic.Endpoint, excluded func(string) bool) {
	c.markHolders()
	if len(candidates) > 0 {
		c.commonContention = c.table.contention.Common(candidates[0].Service)
		c.delays = c.table.delayModel(candidates[0].Service)
		c.troubled = c.table.newestOf(candidates[0].Service).troubled(c.now)
	}
	states := c.table.statesOf(candidates)
	for i, endpoint := range candidates {
		st := states[i]
		o := option{
			endpoint:      endpoint,
			state:         st,
			load:          st.load(c.now),
			missingTokens: c.missingTokens(st),
			rank:          lowestRank,
			avoided:       c.now < st.avoidUntil,
			warmingUp:     st.warmUp.full(endpoint, len(c.table.reports)+1, c.now),
			leaving:       st.notice.leavingAt != 0,
			excluded:      excluded(endpoint.ID) || st.notice.blocks(c.now, c.table.leavingGrace),
			outcomes:      st.outcomes.AsOf(c.now),
			contention:    st.contention.Factor(c.commonContention, c.now),
		}
		c.totalLoad += o.load
		c.ownLoad += st.ownRequests
		c.lastPartKnown = c.lastPartKnown || c.holdsLastPart(st)
		c.failures.Add(o.outcomes)
		if !o.excluded {
			c.usable++
			c.usableLoad += o.load
			c.backlogTokens += st.prefillTokens + st.peerPrefillTokens
		}
		c.options = append(c.options, o)
	}
	c.estimateFailures()
	c.estimateExcess()
	c.estimateUnseen()
	c.estimateSlowness()
	if c.sharedTokens > 0 && !c.lastPartKnown {
		c.rankOptions()
	}
	for i := range c.options {
		c.estimate(&c.options[i])
	}
}

// estimateFailures sets the failure probability of each candidate and the lowest one.
func (c *chooser) estimateFailures() {
	model := c.failures.Model()
	c.herding = model.Differ() && !c.troubled
	c.lowestFailure = 1
	for i := range c.options {
		o := &c.options[i]
		o.failure = model.Probability(o.outcomes)
		o.failureError = model.Error(o.outcomes)
		if !o.excluded {
			c.lowestFailure = min(c.lowestFailure, o.failure)
		}
	}
}

// estimateSlowness sets the slowness that the candidates have in common.
func (c *chooser) estimateSlowness() {
	all := c.table.slownessScratch[:0]
	for i := range c.options {
		all = append(all, c.options[i].outcomes.Slowness())
	}
	slices.Sort(all)
	c.table.slownessScratch = all
	c.commonSlowness = 1
	if len(all) > 0 {
		c.commonSlowness = max(1, all[(len(all)-1)/2])
	}
}

// markHolders sets missingTokens of the endpoints that hold shared parts and collects
// the copy sources. An endpoint that holds a part holds all parts before it.
func (c *chooser) markHolders() {
	parts := c.sharedParts()
	for i := len(parts) - 1; i >= 0; i-- {
		locations := c.table.partIndex.locations(parts[i].ID)
		for at := range locations {
			c.markHolder(&locations[at])
		}
		c.sharedTokens += parts[i].Tokens
	}
	c.sortSources()
}

// markHolder records that an endpoint holds a part. c.sharedTokens counts the tokens of
// the parts after it, which the endpoint lacks.
func (c *chooser) markHolder(at *location) {
	st, ok := c.table.states[at.endpoint]
	if !ok || !c.table.partIndex.valid(at) {
		return
	}
	if st.missingSerial != c.table.choiceSerial {
		st.missingSerial, st.missingTokens = c.table.choiceSerial, c.sharedTokens
	}
	c.addSource(st, at)
}

// missingTokens returns the number of shared tokens after the last part that the
// endpoint is known to hold.
func (c *chooser) missingTokens(st *state) int {
	if st.missingSerial == c.table.choiceSerial {
		return st.missingTokens
	}
	return c.sharedTokens
}

// holdsLastPart reports whether the endpoint is known to hold the last shared part.
func (c *chooser) holdsLastPart(st *state) bool {
	return st.missingSerial == c.table.choiceSerial && st.missingTokens == 0
}

// rankOptions ranks the candidates for the last shared part by rendezvous hashing. The
// order does not depend on load, so VMs that have not exchanged reports agree on it.
func (c *chooser) rankOptions() {
	parts := c.sharedParts()
	key := parts[len(parts)-1].ID
	var first [lowestRank]*option
	for i := range c.options {
		o := &c.options[i]
		if o.avoided || !c.sourceAllowed(o.endpoint) {
			continue
		}
		o.score = rendezvousScore(key, o.state.hash)
		if c.predicted == nil || o.score > c.predicted.score {
			c.predicted = o
		}
		if o.excluded {
			continue
		}
		for position := range first {
			if first[position] == nil || o.score > first[position].score {
				o, first[position] = first[position], o
			}
			if o == nil {
				break
			}
		}
	}
	for position, o := range first {
		if o != nil {
			o.rank = position
		}
	}
}

// rendezvousScore returns the score of an endpoint for a part, both given by their
// hashes. The highest score ranks first.
func rendezvousScore(part, endpoint uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], part)
	binary.LittleEndian.PutUint64(key[8:], endpoint)
	return xxhash.Sum64(key[:])
}

// estimate sets how many tokens the endpoint would have to prefill, where it would copy
// shared parts from, and how long it would take to begin an answer, apart from what all
// endpoints take without a backlog. An endpoint that is faster than others is not preferred:
// its ratio says as much about its load. Learned slowness includes past contention, so the larger of both counts.
func (c *chooser) estimate(o *option) {
	o.slowness = max(1, o.outcomes.Slowness()/c.commonSlowness)
	if len(c.prompt.Parts) == 0 {
		expectedMS := c.delays.ExpectMS(0)
		o.delayMS = max(o.slowness*expectedMS, expectedMS+contention.ExtraMS(o.contention, expectedMS))
		return
	}
	copyMS := 0.0
	o.recomputeTokens = o.missingTokens
	if from := c.bestSource(o); from != nil {
		o.source, o.recomputeTokens = from.endpoint, from.missingTokens
		copyMS = copySetupMS + float64(o.missingTokens-o.recomputeTokens)/copyTokensPerMS
	}
	o.prefillTokens = o.recomputeTokens + c.requestTokens()
	o.backlogTokens = o.state.prefillTokens + o.state.peerPrefillTokens + o.prefillTokens
	expectedMS := c.delays.ExpectMS(float64(o.backlogTokens))
	extraMS := max((o.slowness-1)*expectedMS, contention.ExtraMS(o.contention, expectedMS))
	o.delayMS = copyMS + float64(o.backlogTokens)/prefillTokensPerMS + extraMS
}

// requestTokens returns the number of tokens in the part that only this request has.
func (c *chooser) requestTokens() int {
	parts := c.prompt.Parts
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// sharedParts returns the parts before the last one, which other requests may share. A
// prompt of one part counts as shared.
func (c *chooser) sharedParts() []traffic.Part {
	parts := c.prompt.Parts
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}
