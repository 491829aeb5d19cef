package gossip

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// EndpointContention is how long work takes on an endpoint's host, as the endpoint stated it. VMs relay what
// others received.
type EndpointContention struct {
	// Endpoint and StartedMS identify the instance.
	Endpoint  string
	StartedMS int64
	// Percent is the time that work takes, in percent of the usual one.
	Percent int
	// AgeMS is the time since the statement, in milliseconds.
	AgeMS int64
}

// Age returns the time since the statement.
func (c *EndpointContention) Age() time.Duration {
	return time.Duration(c.AgeMS) * time.Millisecond
}

// Instance returns the instance that made the statement.
func (c *EndpointContention) Instance() traffic.Instance {
	return traffic.Instance{ID: c.Endpoint, StartedMS: c.StartedMS}
}

// MaxContentions bounds the statements in one report. maxContentionPercent and maxContentionAgeMS are limits on
// decoded ones.
const (
	MaxContentions       = 64
	maxContentionPercent = 10_000
	maxContentionAgeMS   = int64(time.Minute / time.Millisecond)
)

// contentions writes Contentions.
func (w *wireWriter) contentions(report *Report) {
	writeList(w, report.Contentions, func(w *wireWriter, contention *EndpointContention) {
		w.name(contention.Endpoint)
		w.number(contention.StartedMS)
		w.count(contention.Percent)
		w.number(contention.AgeMS)
	})
}

// contentions reads Contentions.
func (r *wireReader) contentions(report *Report) {
	report.Contentions = readList(r, MaxContentions, func(r *wireReader, contention *EndpointContention) {
		contention.Endpoint = r.name()
		contention.StartedMS = r.number()
		contention.Percent = r.count(maxContentionPercent)
		contention.AgeMS = r.numberInRange(0, maxContentionAgeMS)
	})
}
