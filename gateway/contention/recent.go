package contention

import "slices"

const (
	// recentStatements is the number of a VM's statements of a service whose median is the usual one. In a large
	// fleet a VM hears two or three per second, so they cover about ten seconds.
	recentStatements = 32
	// minStatements is the number of statements from which the median counts.
	minStatements = 8
)

// recent holds the newest statements of a service that this VM heard itself. Reports are no sample: they contain
// only statements that deviate.
type recent struct {
	factors [recentStatements]float64
	// heard is the number of statements so far.
	heard int
	// common is the median, 1 until minStatements were heard.
	common float64
}

// add counts a statement.
func (r *recent) add(factor float64) {
	r.factors[r.heard%recentStatements] = factor
	r.heard++
	if r.heard < minStatements {
		return
	}
	sorted := r.factors
	known := sorted[:min(r.heard, recentStatements)]
	slices.Sort(known)
	r.common = known[(len(known)-1)/2]
}
