package choice

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Table keeps load, health and prompt places of all endpoints. It is safe for
// concurrent use.
type Table struct {
	domain   string
	multiple float64

	mu      sync.Mutex
	states  map[string]*state
	parts   *holders
	reports map[string][]news.EndpointWork
	// resolved are the states of lists of candidates, by the list's first place; lists
	// are never changed.
	resolved map[**traffic.Endpoint][]*state
	fresh    []news.PartLocation
	// notices are what instances have said of the requests that they want; states of
	// listed endpoints have a copy.
	notices map[instance]notice
	// leavingFor is how long endpoints that leave still get requests.
	leavingFor time.Duration

	// serial numbers the choices; options is the memory of the last one.
	serial  uint64
	options []option
}

// freshLimit bounds the part places that wait to be told to other VMs.
const freshLimit = 128

// NewTable returns a Table of a VM in the given failure domain. multiple bounds
// the requests at one endpoint as a multiple of the mean.
func NewTable(domain string, multiple float64) *Table {
	if multiple <= 1 {
		multiple = defaultMultiple
	}
	return &Table{
		domain:   domain,
		multiple: multiple,
		states:   map[string]*state{},
		parts:    newHolders(),
		reports:  map[string][]news.EndpointWork{},
		resolved: map[**traffic.Endpoint][]*state{},
		notices:  map[instance]notice{},
	}
}

// Update takes in a new snapshot: states of endpoints that are gone and have no
// work in progress are dropped.
func (t *Table) Update(snapshot *knowledge.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.resolved)
	for id, endpoint := range snapshot.Endpoints {
		known, ok := t.states[id]
		if ok && known.endpoint != nil && known.endpoint.SameInstance(endpoint) {
			known.endpoint = endpoint
			continue
		}
		next := newState(id)
		next.endpoint = endpoint
		next.notice = t.notices[instanceOf(endpoint)]
		if ok {
			next.own, next.peers = known.own, known.peers
			next.reading, next.peersReading = known.reading, known.peersReading
		}
		if ok && known.endpoint != nil {
			t.parts.forget(id)
		}
		t.states[id] = next
	}
	for id, known := range t.states {
		if _, listed := snapshot.Endpoints[id]; !listed && known.own == 0 {
			delete(t.states, id)
		}
	}
}

// state returns the state of an endpoint, which it adds if need be.
func (t *Table) state(id string) *state {
	known, ok := t.states[id]
	if !ok {
		known = newState(id)
		t.states[id] = known
	}
	return known
}

// statesOf returns the states of candidates, in their order.
func (t *Table) statesOf(candidates []*traffic.Endpoint) []*state {
	if len(candidates) == 0 {
		return nil
	}
	first := &candidates[0]
	if known := t.resolved[first]; len(known) == len(candidates) {
		return known
	}
	states := make([]*state, len(candidates))
	for i, endpoint := range candidates {
		states[i] = t.state(endpoint.ID)
	}
	t.resolved[first] = states
	return states
}

// Told takes in what an endpoint said of its load.
func (t *Table) RecordLoad(id string, load traffic.Load, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.state(id)
	known.told, known.toldAt, known.sent = load, now, 0
}

// Answered notes an answer, and whether it was a failure.
func (t *Table) RecordOutcome(id string, failed bool, now clock.Boot) {
	t.mu.Lock()
	known := t.state(id)
	known.silent = 0
	known.avoidUntil = 0
	known.outcome(failed, now)
	change, lasted := known.turn(now)
	t.mu.Unlock()
	change.log(id, "", lasted)
}

// Silent notes that an endpoint could not be reached or did not answer, and why.
func (t *Table) RecordUnreachable(id, reason string, now clock.Boot) {
	t.mu.Lock()
	known := t.state(id)
	known.silence(now)
	known.outcome(true, now)
	change, lasted := known.turn(now)
	t.mu.Unlock()
	change.log(id, reason, lasted)
}

// Avoid keeps new requests from an endpoint until the given time.
func (t *Table) Avoid(id string, until clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.state(id)
	known.avoidUntil = max(known.avoidUntil, until)
}

// Fill adds this VM's work, new part places and faults to a report.
func (t *Table) FillReport(report *news.Report, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, known := range t.states {
		if known.own > 0 {
			report.Work = append(report.Work, news.EndpointWork{Endpoint: id, Requests: known.own, PrefillTokens: known.reading})
		}
		if share := decay(known.faults, now.Sub(known.faultAt)); share >= tellFaults {
			report.FailureRates = append(report.FailureRates, news.FailureRate{Endpoint: id, Percent: int(share * 100)})
		}
	}
	if len(report.Heartbeats) > 0 {
		t.fillTold(report, now)
	}
	report.PartLocations = t.fresh
	t.fresh = nil
}

// tellFaults is the part of failed requests from which other VMs are told.
const tellFaults = 0.15

// Receive takes in another VM's report.
func (t *Table) ApplyReport(report news.Report, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(report.Address)
	for _, work := range report.Work {
		known := t.state(work.Endpoint)
		known.peers += work.Requests
		known.peersReading += work.PrefillTokens
	}
	t.reports[report.Address] = report.Work
	for _, told := range report.EndpointLoads {
		t.receiveTold(told, now)
	}
	for _, at := range report.PartLocations {
		isNews := t.parts.note(at.Hash, at.Endpoint, now)
		if isNews && len(report.Heartbeats) > 0 {
			t.tell(at) // In a large fleet each VM passes news on once.
		}
	}
	for _, fault := range report.FailureRates {
		known := t.state(fault.Endpoint)
		share := float64(fault.Percent) / 100
		if share >= decay(known.peerFaults, now.Sub(known.peerFaultsAt)) {
			known.peerFaults, known.peerFaultsAt = share, now
		}
	}
}

// fillTold adds what endpoints told lately of their loads.
func (t *Table) fillTold(report *news.Report, now clock.Boot) {
	for id, known := range t.states {
		age := now.Sub(known.toldAt)
		if known.toldAt == 0 || age > toldFor/2 {
			continue
		}
		report.EndpointLoads = append(report.EndpointLoads, news.EndpointLoad{Endpoint: id, Requests: known.told.Running + known.told.Waiting, AgeMS: age.Milliseconds()})
	}
}

// receiveTold takes in what an endpoint told another VM, if that is newer.
func (t *Table) receiveTold(told news.EndpointLoad, now clock.Boot) {
	known := t.state(told.Endpoint)
	at := now.Add(-time.Duration(told.AgeMS) * time.Millisecond)
	if told.AgeMS < 0 || at <= known.toldAt {
		return
	}
	known.told, known.toldAt, known.sent = traffic.Load{Running: told.Requests, Slots: known.told.Slots}, at, 0
}

// Lost forgets the work of a VM that fell silent.
func (t *Table) ForgetVM(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(address)
}

func (t *Table) forget(address string) {
	for _, work := range t.reports[address] {
		if known, ok := t.states[work.Endpoint]; ok {
			known.peers = max(0, known.peers-work.Requests)
			known.peersReading = max(0, known.peersReading-work.PrefillTokens)
		}
	}
	delete(t.reports, address)
}
