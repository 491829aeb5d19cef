package choice

import (
	"math/rand/v2"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/gateway/contention"
	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Table keeps the load and health of all endpoints and the locations of prompt parts, and
// picks endpoints. It is safe for concurrent use.
type Table struct {
	// domain is this VM's failure domain.
	domain string
	// loadMultiple bounds the requests at one endpoint, as a multiple of the mean.
	loadMultiple float64

	mu sync.Mutex
	// states are the states of endpoints by ID, including those of endpoints that only
	// other VMs have reported.
	states    map[string]*state
	partIndex *partIndex
	// reports is what each other VM reported last, by the VM's address.
	reports map[string]*peerReport
	// statesByList caches the states of lists of candidates, by the address of the
	// list's first element. Lists are never changed.
	statesByList map[**traffic.Endpoint][]*state
	// delays are the learned delays of each service.
	delays map[string]*estimate.DelayModel
	// newest are this VM's newest outcomes of each service.
	newest map[string]*newestOutcomes
	// announcements are the locations that the next report announces.
	announcements []gossip.PartLocation
	// notices are what instances have announced. States of listed endpoints have a copy.
	notices map[traffic.Instance]notice
	// contention holds what instances have stated about their hosts. States of listed endpoints have a copy.
	contention *contention.Tracker
	// leavingGrace is how long leaving endpoints still get requests.
	leavingGrace time.Duration
	// random spreads the first requests of VMs to an endpoint that warms up, and the choices of VMs
	// after a trouble. It also chooses the outcomes that a report of a large fleet has.
	random *rand.Rand
	// optimismSeed decides which endpoints this VM trusts more than others do; see optimism.
	optimismSeed uint64

	// choiceSerial numbers the choices. scratch is the slice of options of the last
	// choice, which the next one reuses.
	choiceSerial uint64
	scratch      []option
	// slownessScratch is the same for the slowness of the candidates.
	slownessScratch []float64
}

// maxAnnouncements bounds the locations that wait for the next report.
const maxAnnouncements = 128

// NewTable returns a Table for a VM in the given failure domain. multiple bounds the
// requests at one endpoint, as a multiple of the mean; the default applies if it is 1 or
// less.
func NewTable(domain string, multiple float64) *Table {
	if multiple <= 1 {
		multiple = defaultMultiple
	}
	t := &Table{
		domain:       domain,
		loadMultiple: multiple,
		states:       map[string]*state{},
		partIndex:    newPartIndex(),
		reports:      map[string]*peerReport{},
		statesByList: map[**traffic.Endpoint][]*state{},
		notices:      map[traffic.Instance]notice{},
		contention:   contention.NewTracker(),
		delays:       map[string]*estimate.DelayModel{},
		newest:       map[string]*newestOutcomes{},
	}
	t.Seed(rand.Uint64())
	return t
}

// Seed makes the random parts of choices and reports the same in each run, for simulations and tests. VMs need
// different seeds. It must be called before the first choice.
func (t *Table) Seed(seed uint64) {
	t.random = rand.New(rand.NewPCG(seed, 0))
	t.optimismSeed = t.random.Uint64()
}

// Update applies a new snapshot. It resets the health and the prompt locations of endpoints
// that restarted or moved, and drops the states of endpoints that are gone and have no work
// in progress.
func (t *Table) Update(snapshot *knowledge.Snapshot) {
	t.update(snapshot, clock.Now())
}

// update implements Update.
func (t *Table) update(snapshot *knowledge.Snapshot, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.statesByList)
	for id, endpoint := range snapshot.Endpoints {
		st, ok := t.states[id]
		if ok && st.endpoint != nil && st.endpoint.SameInstance(endpoint) {
			st.endpoint = endpoint
			st.warmUp.report(warmUpLeft(snapshot, endpoint), t.random, now)
			continue
		}
		next := newState(id)
		next.endpoint = endpoint
		next.warmUp.report(warmUpLeft(snapshot, endpoint), t.random, now)
		next.notice = t.notices[endpoint.Instance()]
		next.contention = t.contention.Newest(endpoint.Instance())
		if ok {
			next.ownRequests, next.peerRequests = st.ownRequests, st.peerRequests
			next.prefillTokens, next.peerPrefillTokens = st.prefillTokens, st.peerPrefillTokens
		}
		if ok && st.endpoint != nil {
			t.partIndex.invalidate(id)
		}
		t.states[id] = next
	}
	for id, st := range t.states {
		if _, listed := snapshot.Endpoints[id]; !listed && st.ownRequests == 0 {
			delete(t.states, id)
		}
	}
}

// state returns the state of an endpoint and creates it if necessary.
func (t *Table) state(id string) *state {
	st, ok := t.states[id]
	if !ok {
		st = newState(id)
		t.states[id] = st
	}
	return st
}

// statesOf returns the states of candidates, in their order.
func (t *Table) statesOf(candidates []*traffic.Endpoint) []*state {
	if len(candidates) == 0 {
		return nil
	}
	first := &candidates[0]
	if cached := t.statesByList[first]; len(cached) == len(candidates) {
		return cached
	}
	states := make([]*state, len(candidates))
	for i, endpoint := range candidates {
		states[i] = t.state(endpoint.ID)
	}
	t.statesByList[first] = states
	return states
}

// RecordLoad records the load that an endpoint reported.
func (t *Table) RecordLoad(id string, load traffic.Load, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(id)
	st.reportedLoad, st.reportedAt, st.sentSinceReport = load, now, 0
}

// RecordOutcome records that an endpoint answered, and whether the request failed. It
// ends any avoidance of the endpoint.
func (t *Table) RecordOutcome(id string, failed bool, now clock.Boot) {
	t.mu.Lock()
	st := t.state(id)
	st.unreachableCount = 0
	st.avoidUntil = 0
	st.recordOutcome(failed, now)
	t.recordNewest(st, failed, now)
	change, lasted := st.healthTransition(now)
	t.mu.Unlock()
	change.log(id, "", lasted)
}

// RecordUnreachable records that an endpoint could not be reached or did not answer. The
// endpoint is avoided for a while. The reason is only logged.
func (t *Table) RecordUnreachable(id, reason string, now clock.Boot) {
	t.mu.Lock()
	st := t.state(id)
	st.recordUnreachable(now)
	st.recordOutcome(true, now)
	t.recordNewest(st, true, now)
	change, lasted := st.healthTransition(now)
	t.mu.Unlock()
	change.log(id, reason, lasted)
}

// Avoid lets an endpoint be avoided until the given time: it gets a new request only if all
// others are avoided or excluded too.
func (t *Table) Avoid(id string, until clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(id)
	st.avoidUntil = max(st.avoidUntil, until)
}

// delayModel returns the learned delays of a service. The caller holds t.mu.
func (t *Table) delayModel(service string) *estimate.DelayModel {
	model, ok := t.delays[service]
	if !ok {
		model = &estimate.DelayModel{}
		t.delays[service] = model
	}
	return model
}

// newestOf returns the newest outcomes of a service. The caller holds t.mu.
func (t *Table) newestOf(service string) *newestOutcomes {
	newest, ok := t.newest[service]
	if !ok {
		newest = &newestOutcomes{}
		t.newest[service] = newest
	}
	return newest
}

// recordNewest counts an outcome among the newest ones of the endpoint's service. The caller holds t.mu.
func (t *Table) recordNewest(st *state, failed bool, now clock.Boot) {
	if st.endpoint != nil {
		t.newestOf(st.endpoint.Service).record(failed, now)
	}
}
