package contention

import "slices"

const (
	// recentStatements is the number of a VM's statements of a service whose median counts as usual. In a large
	// fleet a VM hears two or three per second, so they cover about ten seconds.
	recentStatements = 32
	// minStatements is the number of statements from which the median counts.
	minStatements = 8
)

// recent holds the newest statements of a service that this VM heard itself. Reports are no sample: they contain
// only statements that deviate.
type recent struct {
	factors [recentStatements]float64
	// count is the number of statements so far.
	count int
	// common is the median, 1 until minStatements were heard.
	common float64
}

// add counts a statement.
func (r *recent) add(factor float64) {
	r.factors[r.count%recentStatements] = factor
	r.count++
	if r.count < minStatements {
		return
	}
	sorted := r.factors // A copy: r.factors stays in the order of arrival.
	known := sorted[:min(r.count, recentStatements)]
	slices.Sort(known)
	r.common = known[(len(known)-1)/2]
}
