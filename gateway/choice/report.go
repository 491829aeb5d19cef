package choice

import (
	"math"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// peerReport is what the reports of another VM added to the states of endpoints: the work of
// its last one, and the outcomes of the last one that had any.
type peerReport struct {
	work     []gossip.EndpointWork
	outcomes []peerOutcomes
}

// peerOutcomes are the outcomes of another VM's requests to an endpoint.
type peerOutcomes struct {
	endpoint string
	estimate.Outcomes
}

const (
	// minReportedOutcomes is the number of recent requests to an endpoint from which their
	// outcomes are reported to other VMs.
	minReportedOutcomes = 0.25
	// maxReportedOutcomes bounds the endpoints whose outcomes are in one report of a large
	// fleet.
	maxReportedOutcomes = 24
)

// FillReport adds this VM's work, the outcomes of its requests, the contention that endpoints stated, and pending
// announcements of locations to a report. In a large fleet, whose reports have heartbeats, it also adds loads
// that endpoints reported.
func (t *Table) FillReport(report *gossip.Report, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var served []string
	for id, st := range t.states {
		if st.ownRequests > 0 {
			report.Work = append(report.Work, gossip.EndpointWork{Endpoint: id, Requests: st.ownRequests, PrefillTokens: st.prefillTokens})
		}
		if st.hasReportableOutcomes(now) {
			served = append(served, id)
		}
	}
	t.fillOutcomes(report, served, now)
	t.contention.FillReport(report, now)
	if len(report.Heartbeats) > 0 {
		t.fillEndpointLoads(report, now)
	}
	report.PartLocations = t.announcements
	t.announcements = nil
}

// fillOutcomes adds the outcomes of this VM's requests to endpoints, which it reorders. In a large fleet these are
// samples: those of some endpoints, chosen regardless of what their outcomes are.
func (t *Table) fillOutcomes(report *gossip.Report, endpoints []string, now clock.Boot) {
	if len(report.Heartbeats) > 0 {
		endpoints = t.sample(endpoints, maxReportedOutcomes)
	}
	for _, id := range endpoints {
		report.Outcomes = append(report.Outcomes, reportedOutcomes(id, t.states[id].ownOutcomes.AsOf(now)))
	}
}

// sample returns at most limit random entries of a list, which it reorders. The same entries in any order give the
// same sample for the same seed.
func (t *Table) sample(list []string, limit int) []string {
	if len(list) <= limit {
		return list
	}
	slices.Sort(list)
	for at := range limit {
		from := at + t.random.IntN(len(list)-at)
		list[at], list[from] = list[from], list[at]
	}
	return list[:limit]
}

// normalSlowness is the deviation from the expected delays up to which it is not reported.
const normalSlowness = 0.2

// reportedOutcomes returns an endpoint's outcomes as they are reported.
func reportedOutcomes(id string, own estimate.Outcomes) gossip.EndpointOutcomes {
	reported := gossip.EndpointOutcomes{Endpoint: id, Good: gossip.ToUnits(own.Good), Failed: gossip.ToUnits(own.Failed)}
	if ratio := own.MeanRatio(); math.Abs(ratio-1) > normalSlowness {
		reported.SlownessPercent = max(1, int(100*ratio))
	}
	return reported
}

// ApplyReport applies a report of another VM, which replaces its previous one.
func (t *Table) ApplyReport(report gossip.Report, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.reports[report.Address]
	if previous == nil {
		previous = &peerReport{}
		t.reports[report.Address] = previous
	}
	t.removeWork(previous)
	previous.work = report.Work
	for _, work := range report.Work {
		st := t.state(work.Endpoint)
		st.peerRequests += work.Requests
		st.peerPrefillTokens += work.PrefillTokens
	}
	if len(report.Outcomes) > 0 {
		t.applyOutcomes(previous, report.Outcomes, now)
	}
	t.applyContentions(report.Contentions, now)
	for _, load := range report.EndpointLoads {
		t.applyEndpointLoad(load, now)
	}
	for _, at := range report.PartLocations {
		isNew := t.partIndex.record(at.Hash, at.Endpoint, now)
		if isNew && len(report.Heartbeats) > 0 {
			t.announce(at) // In a large fleet each VM forwards an announcement once.
		}
	}
}

// applyOutcomes replaces the outcomes that a VM reported before. A report without outcomes
// leaves them as they are: they decay.
func (t *Table) applyOutcomes(previous *peerReport, reported []gossip.EndpointOutcomes, now clock.Boot) {
	t.removeOutcomes(previous, now)
	for _, reported := range reported {
		slowness := 1.0
		if reported.SlownessPercent != 0 {
			slowness = float64(reported.SlownessPercent) / 100
		}
		outcomes := estimate.NewOutcomes(gossip.FromUnits(reported.Good), gossip.FromUnits(reported.Failed), slowness, now)
		t.state(reported.Endpoint).outcomes.Add(outcomes, now)
		previous.outcomes = append(previous.outcomes, peerOutcomes{reported.Endpoint, outcomes})
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

// ForgetVM drops the last report of a VM that is no longer heard of.
func (t *Table) ForgetVM(address string, now clock.Boot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeReport(address, now)
}

// removeReport takes back what a VM's reports added. The caller holds t.mu.
func (t *Table) removeReport(address string, now clock.Boot) {
	if report, ok := t.reports[address]; ok {
		t.removeWork(report)
		t.removeOutcomes(report, now)
		delete(t.reports, address)
	}
}

// removeWork takes back the work that a report added.
func (t *Table) removeWork(report *peerReport) {
	for _, work := range report.work {
		if st, ok := t.states[work.Endpoint]; ok {
			st.peerRequests = max(0, st.peerRequests-work.Requests)
			st.peerPrefillTokens = max(0, st.peerPrefillTokens-work.PrefillTokens)
		}
	}
	report.work = nil
}

// removeOutcomes takes back the outcomes that a report added.
func (t *Table) removeOutcomes(report *peerReport, now clock.Boot) {
	for _, reported := range report.outcomes {
		if st, ok := t.states[reported.endpoint]; ok {
			st.outcomes.Subtract(reported.Outcomes, now)
		}
	}
	report.outcomes = report.outcomes[:0]
}
