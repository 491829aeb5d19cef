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
	w.count(len(report.Limits))
	for _, limit := range report.Limits {
		w.name(limit.Endpoint)
		w.number(limit.StartedMS)
		w.name(limit.Service)
		w.count(limit.PerThousandSeconds)
		w.number(limit.AgeMS)
	}
	w.count(len(report.Demands))
	for _, demand := range report.Demands {
		w.name(demand.Service)
		w.count(demand.Requests)
	}
}

// limits reads the fields on limits.
func (r *wireReader) limits(report *Report) {
	report.Limits = makeSlice[EndpointLimit](r.entryCount(maxLimits))
	for i := range report.Limits {
		report.Limits[i] = EndpointLimit{
			Endpoint: r.name(), StartedMS: r.number(), Service: r.name(),
			PerThousandSeconds: r.count(maxPerThousandSeconds), AgeMS: r.numberInRange(0, maxLimitAgeMS),
		}
	}
	report.Demands = makeSlice[ServiceDemand](r.entryCount(maxDemands))
	for i := range report.Demands {
		report.Demands[i] = ServiceDemand{Service: r.name(), Requests: r.count(maxRequests)}
	}
}
