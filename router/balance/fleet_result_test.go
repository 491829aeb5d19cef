package balance

import "testing"

// fleetResult holds the counts and the skew measured in a run.
type fleetResult struct {
	// requests and refused count all and the refused requests, attempts the
	// candidates that were asked; each by workspace.
	requests, refused, attempts [fleetWorkspaces]int
	// tags and tagsRefused count the tags of all workspaces except the first.
	tags, tagsRefused int
	// maxSkew and sumSkew are the maximum and the sum of the skews of all samples,
	// sumMean is the sum of their mean loads in tokens.
	maxSkew, sumSkew, sumMean float64
	samples                   int
	// peak is the maximum number of requests at one engine.
	peak int
	// starts counts the admitted requests by engine.
	starts [fleetEngines]int
}

// others returns the fraction of refused requests and the mean number of
// attempts per request of all workspaces except the first.
func (r *fleetResult) others() (refused, attempts float64) {
	asked, refusals, tries := 0, 0, 0
	for w := 1; w < fleetWorkspaces; w++ {
		asked += r.requests[w]
		refusals += r.refused[w]
		tries += r.attempts[w]
	}
	return float64(refusals) / float64(asked), float64(tries) / float64(asked)
}

// add adds the counts and sums of other and keeps the larger maxSkew and peak.
func (r *fleetResult) add(other *fleetResult) {
	for w := range fleetWorkspaces {
		r.requests[w] += other.requests[w]
		r.refused[w] += other.refused[w]
		r.attempts[w] += other.attempts[w]
	}
	for e := range fleetEngines {
		r.starts[e] += other.starts[e]
	}
	r.tags += other.tags
	r.tagsRefused += other.tagsRefused
	r.samples += other.samples
	r.sumSkew += other.sumSkew
	r.sumMean += other.sumMean
	r.maxSkew = max(r.maxSkew, other.maxSkew)
	r.peak = max(r.peak, other.peak)
}

// admitted returns the number of requests admitted to engines.
func (r *fleetResult) admitted() int {
	sum := 0
	for _, starts := range r.starts {
		sum += starts
	}
	return sum
}

func (r *fleetResult) log(t *testing.T, name string) {
	refused, attempts := r.others()
	samples := float64(max(1, r.samples))
	t.Logf("%s: others refused %.4f, attempts %.3f; flooding workspace refused %d of %d; tags refused %d of %d; "+
		"max/mean average %.3f, largest %.3f; mean %.0f tokens; most requests %d", name, refused, attempts,
		r.refused[0], r.requests[0], r.tagsRefused, r.tags, r.sumSkew/samples, r.maxSkew, r.sumMean/samples, r.peak)
}
