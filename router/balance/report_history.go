package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// maxSamples is the number of load reports over which the minimum foreign load
// is taken. In a single report, own work that the engine has started but not yet
// answered looks like foreign load.
const maxSamples = 4

// sample is the foreign load in one load report: work that this router did not
// admit.
type sample struct {
	foreign   ModelLoad
	sampledAt time.Time
}

// reportHistory holds the results of an engine's last load reports.
type reportHistory struct {
	// lastSequence is the sequence number of the last report that was requested.
	lastSequence uint64
	// consecutiveFailures counts the failed reports since the last good one.
	consecutiveFailures int
	leaving             bool
	// samples are the last maxSamples samples, newest first.
	samples []sample
}

// add records a report that was requested at sampledAt. own is the router's own
// load that the report must contain. A report older than the newest is dropped.
func (r *reportHistory) add(load endpoint.Load, own ModelLoad, sampledAt time.Time) {
	r.consecutiveFailures = 0
	if len(r.samples) > 0 && sampledAt.Before(r.samples[0].sampledAt) {
		return
	}
	r.leaving = load.Leaving
	r.samples = append([]sample{{foreign: foreignLoad(load, own), sampledAt: sampledAt}}, r.samples...)
	r.samples = r.samples[:min(len(r.samples), maxSamples)]
}

// foreignLoad returns the part of load that is not in own. Engines and routers
// estimate different numbers of tokens for the same request, so tokens count
// only if there are foreign requests.
func foreignLoad(load endpoint.Load, own ModelLoad) ModelLoad {
	requests := max(0, load.Requests-own.Requests)
	if requests == 0 {
		return ModelLoad{}
	}
	return ModelLoad{Requests: requests, Tokens: max(0, load.Tokens-own.Tokens)}
}

// newest returns the newest sample.
func (r *reportHistory) newest() (sample, bool) {
	if len(r.samples) == 0 {
		return sample{}, false
	}
	return r.samples[0], true
}

// minForeignSince returns the minimum foreign load of the samples taken since
// the given time, and whether there is such a sample. While no other router
// admits work, this is an upper bound of the foreign work still in progress.
func (r *reportHistory) minForeignSince(since time.Time) (ModelLoad, bool) {
	var lowest ModelLoad
	found := false
	for _, s := range r.samples {
		if s.sampledAt.Before(since) {
			break
		}
		if !found {
			lowest = s.foreign
		}
		lowest, found = lowest.minimum(s.foreign), true
	}
	return lowest, found
}
