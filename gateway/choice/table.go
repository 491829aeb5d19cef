package choice

import (
	"sync"
	"time"

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
	// reports is the work that each other VM reported last, by the VM's address.
	reports map[string][]gossip.EndpointWork
	// statesByList caches the states of lists of candidates, by the address of the
	// list's first element. Lists are never changed.
	statesByList map[**traffic.Endpoint][]*state
	// announcements are the locations that the next report announces.
	announcements []gossip.PartLocation
	// notices are what instances have announced. States of listed endpoints have a copy.
	notices map[instance]notice
	// leavingGrace is how long leaving endpoints still get requests.
	leavingGrace time.Duration

	// choiceSerial numbers the choices. scratch is the slice of options of the last
	// choice, which the next one reuses.
	choiceSerial uint64
	scratch      []option
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
	return &Table{
		domain:       domain,
		loadMultiple: multiple,
		states:       map[string]*state{},
		partIndex:    newPartIndex(),
		reports:      map[string][]gossip.EndpointWork{},
		statesByList: map[**traffic.Endpoint][]*state{},
		notices:      map[instance]notice{},
	}
}

// Update applies a new snapshot. It resets the health and the prompt locations of endpoints
// that restarted or moved, and drops the states of endpoints that are gone and have no work
// in progress.
func (t *Table) Update(snapshot *knowledge.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.statesByList)
	for id, endpoint := range snapshot.Endpoints {
		st, ok := t.states[id]
		if ok && st.endpoint != nil && st.endpoint.SameInstance(endpoint) {
			st.endpoint = endpoint
			continue
		}
		next := newState(id)
		next.endpoint = endpoint
		next.notice = t.notices[instanceOf(endpoint)]
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

// FillReport adds this VM's work, pending announcements of locations, and failure shares to
// a report. In a large fleet, whose reports have heartbeats, it also adds loads that
// endpoints reported.
func (t *Table) FillReport(report *gossip.Report, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, st := range t.states {
		if st.ownRequests > 0 {
			report.Work = append(report.Work, gossip.EndpointWork{Endpoint: id, Requests: st.ownRequests, PrefillTokens: st.prefillTokens})
		}
		if share := decay(st.failureShare, now.Sub(st.failureShareAt)); share >= minReportedFailureShare {
			report.FailureRates = append(report.FailureRates, gossip.FailureRate{Endpoint: id, Percent: int(share * 100)})
		}
	}
	if len(report.Heartbeats) > 0 {
		t.fillEndpointLoads(report, now)
	}
	report.PartLocations = t.announcements
	t.announcements = nil
}

// minReportedFailureShare is the share of failed requests from which it is reported to
// other VMs.
const minReportedFailureShare = 0.15

// ApplyReport applies a report of another VM, which replaces its previous one.
func (t *Table) ApplyReport(report gossip.Report, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeReport(report.Address)
	for _, work := range report.Work {
		st := t.state(work.Endpoint)
		st.peerRequests += work.Requests
		st.peerPrefillTokens += work.PrefillTokens
	}
	t.reports[report.Address] = report.Work
	for _, load := range report.EndpointLoads {
		t.applyEndpointLoad(load, now)
	}
	for _, at := range report.PartLocations {
		isNew := t.partIndex.record(at.Hash, at.Endpoint, now)
		if isNew && len(report.Heartbeats) > 0 {
			t.announce(at) // In a large fleet each VM forwards an announcement once.
		}
	}
	for _, rate := range report.FailureRates {
		st := t.state(rate.Endpoint)
		share := float64(rate.Percent) / 100
		if share >= decay(st.peerFailureShare, now.Sub(st.peerFailureShareAt)) {
			st.peerFailureShare, st.peerFailureShareAt = share, now
		}
	}
}

// fillEndpointLoads adds the loads that endpoints reported within half of
// reportedLoadTTL.
func (t *Table) fillEndpointLoads(report *gossip.Report, now clock.Boot) {
	for id, st := range t.states {
		age := now.Sub(st.reportedAt)
		if st.reportedAt == 0 || age > reportedLoadTTL/2 {
			continue
		}
		report.EndpointLoads = append(report.EndpointLoads, gossip.EndpointLoad{Endpoint: id, Requests: st.reportedLoad.Running + st.reportedLoad.Waiting, AgeMS: age.Milliseconds()})
	}
}

// applyEndpointLoad records a load that an endpoint reported to another VM, if it is
// newer than the known one.
func (t *Table) applyEndpointLoad(load gossip.EndpointLoad, now clock.Boot) {
	st := t.state(load.Endpoint)
	at := now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	if load.AgeMS < 0 || at <= st.reportedAt {
		return
	}
	st.reportedLoad, st.reportedAt, st.sentSinceReport = traffic.Load{Running: load.Requests, Slots: st.reportedLoad.Slots}, at, 0
}

// ForgetVM drops the work of a VM that is no longer heard of.
func (t *Table) ForgetVM(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeReport(address)
}

// removeReport subtracts the work of a VM's last report. The caller holds t.mu.
func (t *Table) removeReport(address string) {
	for _, work := range t.reports[address] {
		if st, ok := t.states[work.Endpoint]; ok {
			st.peerRequests = max(0, st.peerRequests-work.Requests)
			st.peerPrefillTokens = max(0, st.peerPrefillTokens-work.PrefillTokens)
		}
	}
	delete(t.reports, address)
}
