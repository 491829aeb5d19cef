package routebench

import "slices"

// Result counts what came of a run within the measured time.
type Result struct {
	// Way and Scenario name the run.
	Way, Scenario string
	// Requests, Refused and Returning count requests; Returning are those of
	// chats that were answered before.
	Requests, Refused, Returning int
	// Reused counts returning requests at an engine that held their context.
	Reused int
	// Spilled counts returning requests whose chat was last at another engine
	// than its first choice; Found those that went there again.
	Spilled, Found int
	// Moved counts requests of chats that left a live engine that held their
	// context and was not full.
	Moved int
	// Last counts requests that were admitted above the multiple, because no
	// engine had room below it.
	Last int
	// Asked counts the engines that were asked.
	Asked int
	// Bytes and Seconds give the control traffic of one router.
	Bytes, Seconds int

	// admitted are the loads over the mean of each engine that just admitted.
	admitted []float64
	// lagged are the same over the largest mean within the last exchange period.
	lagged []float64
}

// Reuse returns the part of the returning requests that found their context.
func (r *Result) Reuse() float64 {
	return part(r.Reused, r.Returning)
}

// MaxAdmitted returns the largest load over the mean after an admission.
func (r *Result) MaxAdmitted() float64 {
	return largest(r.admitted)
}

// MaxLagged returns the largest load after an admission over the largest mean
// that an exchange of loads may have shown.
func (r *Result) MaxLagged() float64 {
	return largest(r.lagged)
}

func part(count, all int) float64 {
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
