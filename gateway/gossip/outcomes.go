package gossip

import "math"

// OutcomeUnits is the number of units of EndpointOutcomes in one request.
const OutcomeUnits = 4

// ToUnits returns a number of requests in units of 1/OutcomeUnits.
func ToUnits(requests float64) int {
	return int(math.Round(requests * OutcomeUnits))
}

// FromUnits returns the number of requests that a number of units stands for.
func FromUnits(units int) float64 {
	return float64(units) / OutcomeUnits
}

// EndpointOutcomes counts one VM's recent requests to an endpoint, in units of 1/OutcomeUnits
// of a request: older requests count less.
type EndpointOutcomes struct {
	Endpoint string
	// Good is the number of requests that were answered well, Failed that of the others.
	Good   int
	Failed int
	// SlownessPercent is how long answers took to begin, in percent of what the sender
	// expects of the service; 0 stands for about 100.
	SlownessPercent int
}

// The lowest bits of the first number of encoded outcomes tell which fields follow. Most
// endpoints fail nothing and are as fast as expected.
const (
	hasFailed   = 1
	hasSlowness = 2
	fieldBits   = 2
)

// maxSlownessPercent bounds SlownessPercent.
const maxSlownessPercent = 100_000

// outcomes writes the counts of one endpoint.
func (w *wireWriter) outcomes(o EndpointOutcomes) {
	w.name(o.Endpoint)
	fields := 0
	if o.Failed != 0 {
		fields |= hasFailed
	}
	if o.SlownessPercent != 0 {
		fields |= hasSlowness
	}
	w.count(o.Good<<fieldBits | fields)
	if o.Failed != 0 {
		w.count(o.Failed)
	}
	if o.SlownessPercent != 0 {
		w.count(o.SlownessPercent)
	}
}

// outcomes reads the counts of one endpoint.
func (r *wireReader) outcomes() EndpointOutcomes {
	o := EndpointOutcomes{Endpoint: r.name()}
	first := r.count((maxRequests+1)<<fieldBits - 1)
	o.Good = first >> fieldBits
	if first&hasFailed != 0 {
		o.Failed = r.count(maxRequests)
	}
	if first&hasSlowness != 0 {
		o.SlownessPercent = r.count(maxSlownessPercent)
	}
	return o
}
