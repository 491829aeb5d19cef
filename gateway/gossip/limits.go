package gossip

import "time"

// EndpointLimit is a limit on the requests of all VMs together to an endpoint. VMs relay the limits
// that others received.
type EndpointLimit struct {
	// Endpoint and StartedMS identify the instance, Service is the name of its service.
	Endpoint  string
	StartedMS int64
	Service   string
	// PerThousandSeconds is the number of requests in 1,000 seconds, 0 if the endpoint has
	// lifted its limit.
	PerThousandSeconds int
	// AgeMS is the time since the endpoint named or lifted the limit, in milliseconds.
	AgeMS int64
}

// Age returns the time since the endpoint named or lifted the limit.
func (e *EndpointLimit) Age() time.Duration {
	return time.Duration(e.AgeMS) * time.Millisecond
}

// ServiceDemand is the smoothed number of recent requests of the sender's callers for a service, in
// units of 1/OutcomeUnits.
type ServiceDemand struct {
	Service  string
	Requests int
}

// Limits on decoded limits and demands.
const (
	maxLimits             = 64
	maxDemands            = 256
	maxPerThousandSeconds = 1_000_000_000
	maxLimitAgeMS         = int64(24 * time.Hour / time.Millisecond)
)

// hasLimitFields reports whether a field on limits is set. Most reports have none.
func (r *Report) hasLimitFields() bool {
	return len(r.Limits) > 0 || len(r.Demands) > 0
}

// limits writes the fields on limits.
func (w *wireWriter) limits(report *Report) {
	writeList(w, report.Limits, (*wireWriter).endpointLimit)
	writeList(w, report.Demands, (*wireWriter).serviceDemand)
}

func (w *wireWriter) endpointLimit(limit *EndpointLimit) {
	w.name(limit.Endpoint)
	w.number(limit.StartedMS)
	w.name(limit.Service)
	w.count(limit.PerThousandSeconds)
	w.number(limit.AgeMS)
}

func (w *wireWriter) serviceDemand(demand *ServiceDemand) {
	w.name(demand.Service)
	w.count(demand.Requests)
}

// limits reads the fields on limits.
func (r *wireReader) limits(report *Report) {
	report.Limits = readList(r, maxLimits, (*wireReader).endpointLimit)
	report.Demands = readList(r, maxDemands, (*wireReader).serviceDemand)
}

func (r *wireReader) endpointLimit(limit *EndpointLimit) {
	limit.Endpoint = r.name()
	limit.StartedMS = r.number()
	limit.Service = r.name()
	limit.PerThousandSeconds = r.count(maxPerThousandSeconds)
	limit.AgeMS = r.numberInRange(0, maxLimitAgeMS)
}

func (r *wireReader) serviceDemand(demand *ServiceDemand) {
	demand.Service = r.name()
	demand.Requests = r.count(maxRequests)
}
