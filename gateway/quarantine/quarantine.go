package quarantine

import (
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// Quarantine is a verdict: requests whose prompts hold all of Parts crash engines.
type Quarantine struct {
	// Parts are the part that crashes engines and those that never came without it, sorted.
	Parts []uint64
	// Crashes is the number of independent crashes.
	Crashes int
	// Until is when the next request may try again.
	Until clock.Boot

	// basis are the newest independent observations, at most maxBasis, which lead other VMs
	// to the same verdict.
	basis []*Observation
}

const (
	// minCrashes is the number of independent crashes from which a part is quarantined.
	minCrashes = 3
	// baseTerm is how long the first quarantine lasts after the last crash. It doubles with
	// each further crash, up to maxTerm.
	baseTerm = 10 * time.Minute
	maxTerm  = baseTerm << (termCrashes - minCrashes)
	// termCrashes is the number of crashes from which the term no longer grows.
	termCrashes = 5
	// maxBasis bounds the basis of a quarantine.
	maxBasis = 16
)

// term returns how long a quarantine lasts after the last of count crashes.
func term(count int) time.Duration {
	return baseTerm << (min(count, termCrashes) - minCrashes)
}

// covers reports whether a prompt with the given parts holds all parts of the quarantine.
func (q *Quarantine) covers(parts []uint64) bool {
	for _, part := range q.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
