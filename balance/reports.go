package balance

import (
	"time"

	"cardamompoint.example/cardamompoint/endpoint"
)

// reports keeps what an engine's load reports show of work that this router
// did not admit.
type reports struct {
	// asked numbers the reports that were asked for.
	asked uint64
	// failures counts reports that failed since the last good one.
	failures int
	leaving  bool
	known    bool
	foreign  ModelLoad
	sampled  time.Time

	leastFrom time.Time
	least     ModelLoad
}

// take keeps a report that was asked for at sampled. shown is the router's own
// work that the report must contain.
func (r *reports) take(load endpoint.Load, shown ModelLoad, sampled time.Time) {
	r.failures = 0
	r.leaving = load.Leaving
	r.foreign = foreignLoad(load, shown)
	r.sampled = sampled
	if r.known && !sampled.Before(r.leastFrom) {
		r.least = r.least.least(r.foreign)
	}
	r.known = true
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

// last returns the newest foreign load and when it was sampled.
func (r *reports) last() (ModelLoad, time.Time, bool) {
	return r.foreign, r.sampled, r.known
}

// leastSince returns the least foreign load of the reports sampled since the
// given time. While nobody else admits work, it bounds what is left of it.
func (r *reports) leastSince(since time.Time) (ModelLoad, bool) {
	if !r.known || r.sampled.Before(since) {
		return ModelLoad{}, false
	}
	if !r.leastFrom.Equal(since) {
		r.leastFrom = since
		r.least = r.foreign
	}
	return r.least, true
}
