package router

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/affinity"
)

// candidateOrder yields the candidates of one attempt in the order in which their
// homes are asked. It is not safe for concurrent use.
type candidateOrder struct {
	remaining []candidate
	search    *affinity.Search
	// current is the candidate that next returned last.
	current candidate
	// fullCandidates are the candidates whose engines were at the load multiple or crashed
	// under the chat before.
	fullCandidates []candidate
	// refusals counts the candidates that refused for other reasons than the chat's
	// context.
	refusals int
	// searchEnded reports whether all candidates have been searched or maxRefusals
	// has been reached.
	searchEnded bool
}

// newCandidateOrder returns the order for j, without the candidates whose engines
// have failed.
func newCandidateOrder(j *job) *candidateOrder {
	order := &candidateOrder{remaining: make([]candidate, 0, len(j.candidates))}
	for _, c := range j.candidates {
		if !j.failedEngines[c.vm.Address] {
			order.remaining = append(order.remaining, c)
		}
	}
	order.search = affinity.NewSearch(len(order.remaining), j.searchContext && len(j.failedEngines) == 0)
	return order
}

// next returns the next candidate to ask, with the reason for the log. When no
// candidate remains or maxRefusals have refused, it returns the full ones once more
// as a last resort. It reports false at the end.
func (o *candidateOrder) next() (candidate, bool) {
	if !o.searchEnded && o.refusals < maxRefusals {
		if index, lookup, ok := o.search.Next(); ok {
			o.current = o.withLookup(o.remaining[index], lookup)
			return o.current, true
		}
	}
	o.searchEnded = true
	if len(o.fullCandidates) == 0 {
		return candidate{}, false
	}
	o.current, o.fullCandidates = o.fullCandidates[0], o.fullCandidates[1:]
	o.current.lastResort = true
	o.current.lookup = affinity.LookupAny
	o.current.reason = reasonLastResort
	return o.current, true
}

// withLookup returns c with the lookup mode and the reason for its place in the
// order.
func (o *candidateOrder) withLookup(c candidate, lookup affinity.LookupMode) candidate {
	c.lookup = lookup
	if lookup == affinity.LookupHeld {
		c.reason = reasonProbed
	} else if len(o.fullCandidates) > 0 {
		c.reason = reasonSpill
	}
	return c
}

// recordRefusal records why the candidate that next returned last did not admit the
// work.
func (o *candidateOrder) recordRefusal(err error) {
	if o.current.lastResort {
		return
	}
	refusal := refusalOf(err)
	if refusal == affinity.RefusalContextLeft {
		o.search.RecordContextLeft(time.Duration(code.Of(err).ContextAgeMS) * time.Millisecond)
		return
	}
	o.search.RecordRefusal(refusal)
	if refusal != affinity.RefusalFull {
		return
	}
	o.refusals++
	if code.Is(err, code.EndpointFull) || code.Is(err, code.CrashingPrompt) {
		o.fullCandidates = append(o.fullCandidates, o.current)
	}
}
