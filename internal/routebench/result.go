package routebench

import "slices"

// Result holds the results of a run within the measured time.
type Result struct {
	// Strategy and Scenario are the names of the run's strategy and scenario.
	Strategy, Scenario string
	// Requests, Refused and Returning count requests. Returning are those of chats
	// with an earlier answer.
	Requests, Refused, Returning int
	// Reused counts returning requests at an engine that held their context.
	Reused int
	// Spilled counts returning requests whose chat was last served by another engine
	// than its highest-ranked one. Found counts those that went to that engine
	// again.
	Spilled, Found int
	// Moved counts requests of chats that left a live engine that held their
	// context and was not full.
	Moved int
	// LastResort counts requests that were admitted above the load multiple because
	// no engine had capacity below it.
	LastResort int
	// Asked counts the engines asked for all requests.
	Asked int
	// Bytes is the control traffic of one router within Seconds.
	Bytes, Seconds int

	// admittedRatios are the loads of engines just after an admission, divided by
	// the mean load.
	admittedRatios []float64
	// laggedRatios are the same loads, divided by the largest mean within the last
	// exchange period.
	laggedRatios []float64
}

// Reuse returns the fraction of the returning requests that found their context.
func (r *Result) Reuse() float64 {
	return ratio(r.Reused, r.Returning)
}

// MaxAdmitted returns the largest load after an admission, divided by the mean.
func (r *Result) MaxAdmitted() float64 {
	return largest(r.admittedRatios)
}

// MaxLagged returns the largest load after an admission, divided by the largest
// mean that the last exchange of loads may have reported.
func (r *Result) MaxLagged() float64 {
	return largest(r.laggedRatios)
}

func ratio(count, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(count) / float64(all)
}

// largest returns the largest value, or 0 if there is none.
func largest(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Max(values)
}
