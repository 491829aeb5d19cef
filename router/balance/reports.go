package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// keptSamples is the number of load reports over which the least foreign load
// is taken. Own work that an engine has started, but not answered yet, looks
// like foreign load in single reports.
const keptSamples = 4

// sample is what one load report shows of work that this router did not admit.
type sample struct {
	foreign ModelLoad
	at      time.Time
}

// reports keeps what an engine's last load reports show.
type reports struct {
	// asked numbers the reports that were asked for.
	asked uint64
	// failures counts reports that failed since the last good one.
	failures int
	leaving  bool
	// samples are the last ones, newest first.
	samples []sample
}

// take keeps a report that was asked for at sampled. shown is the router's own
// work that the report must contain. A report older than the newest is dropped.
func (r *reports) take(load endpoint.Load, shown ModelLoad, sampled time.Time) {
	r.failures = 0
	if len(r.samples) > 0 && sampled.Before(r.samples[0].at) {
		return
	}
	r.leaving = load.Leaving
	r.samples = append([]sample{{foreign: foreignLoad(load, shown), at: sampled}}, r.samples...)
	r.samples = r.samples[:min(len(r.samples), keptSamples)]
}

// foreignLoad returns the part of load that is not in shown. Engines and
// routers expect different numbers of tokens for the same request, so tokens
// count only if there are foreign requests.
func foreignLoad(load endpoint.Load, shown ModelLoad) ModelLoad {
	requests := max(0, load.Requests-shown.Requests)
	if requests == 0 {
		return ModelLoad{}
	}
	return ModelLoad{Requests: requests, Tokens: max(0, load.Tokens-shown.Tokens)}
}

// newest returns the newest sample.
func (r *reports) newest() (sample, bool) {
	if len(r.samples) == 0 {
		return sample{}, false
	}
	return r.samples[0], true
}

// leastSince returns the least foreign load of the samples taken since the
// given time. While nobody else admits work, it bounds what is left of it.
func (r *reports) leastSince(since time.Time) (ModelLoad, bool) {
	var least ModelLoad
	found := false
	for _, s := range r.samples {
		if s.at.Before(since) {
			break
		}
		if !found {
			least = s.foreign
		}
		least, found = least.least(s.foreign), true
	}
	return least, found
}
