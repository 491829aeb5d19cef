package choice

import (
	"cmp"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// minCopyTokens is the smallest number of tokens that is worth a copy.
const minCopyTokens = 128

// assumedPrefillTime is how long after it was sent a part counts as prefilled, even if
// the endpoint has other prompts left to prefill.
const assumedPrefillTime = 700 * time.Millisecond

// source is an endpoint from which shared parts can be copied. missingTokens is the
// number of shared tokens that it lacks.
type source struct {
	endpoint      *traffic.Endpoint
	missingTokens int
}

// addSource adds the endpoint of a location to c.sources if it is reachable and has
// probably prefilled the part.
func (c *chooser) addSource(st *state, at *location) {
	if st.sourceSerial == c.table.choiceSerial || st.endpoint == nil || c.now < st.avoidUntil || !c.sourceAllowed(st.endpoint) {
		return
	}
	if st.prefillTokens+st.peerPrefillTokens > 0 && c.now.Sub(at.sentAt) < assumedPrefillTime {
		return
	}
	st.sourceSerial = c.table.choiceSerial
	c.sources = append(c.sources, source{st.endpoint, st.missingTokens})
}

// sourceAllowed reports whether the request allows copies of prompt parts from an endpoint.
func (c *chooser) sourceAllowed(endpoint *traffic.Endpoint) bool {
	return c.allowsSource == nil || c.allowsSource(endpoint)
}

// sortSources sorts the sources by what they hold, the most first.
func (c *chooser) sortSources() {
	slices.SortStableFunc(c.sources, func(a, b source) int { return cmp.Compare(a.missingTokens, b.missingTokens) })
}

// bestSource returns the source that holds the most of the shared parts, or nil if none
// holds at least minCopyTokens more than the chosen option.
func (c *chooser) bestSource(chosen *option) *source {
	for i := range c.sources {
		from := &c.sources[i]
		if from.missingTokens > chosen.missingTokens-minCopyTokens {
			return nil
		}
		if from.endpoint.ID != chosen.endpoint.ID {
			return from
		}
	}
	return nil
}

// predictSource sets the predicted holder as the copy source if no holder of the last
// part is known, unless that would forgo a larger copy from a known holder. A copy that
// finds nothing costs little.
func (c *chooser) predictSource(chosen *option) {
	if c.predicted == nil || c.predicted.endpoint.ID == chosen.endpoint.ID {
		return
	}
	parts := c.sharedParts()
	last := parts[len(parts)-1].Tokens
	if last >= minCopyTokens && last > chosen.missingTokens-chosen.recomputeTokens {
		chosen.source = c.predicted.endpoint
	}
}
