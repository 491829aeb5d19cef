package router

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/affinity"
)

// candidateOrder yields the candidates of one attempt in the order in which
// their homes are asked. It is not safe for concurrent use.
type candidateOrder struct {
	left   []candidate
	search *affinity.Search
	// current is the candidate that next returned last.
	current candidate
	// full are the candidates whose engines were at the load multiple.
	full []candidate
	// asked counts the candidates that refused for other reasons than the chat's
	// context.
	asked int
	// searched tells that the search has ended.
	searched bool
}

// newCandidateOrder leaves out the candidates of j that have failed.
func newCandidateOrder(j *job) *candidateOrder {
	order := &candidateOrder{left: make([]candidate, 0, len(j.candidates))}
	for _, c := range j.candidates {
		if !j.failed[c.vm.Address] {
			order.left = append(order.left, c)
		}
	}
	order.search = affinity.NewSearch(len(order.left), j.search && len(j.failed) == 0)
	return order
}

// next returns the candidate to ask next, with the reason for the log. When no
// candidate is left or maxAsked have refused, the ones that were full are asked
// once more, as the last ones.
func (o *candidateOrder) next() (candidate, bool) {
	if !o.searched && o.asked < maxAsked {
		if index, lookup, ok := o.search.Next(); ok {
			o.current = o.withLookup(o.left[index], lookup)
			return o.current, true
		}
	}
	o.searched = true
	if len(o.full) == 0 {
		return candidate{}, false
	}
	o.current, o.full = o.full[0], o.full[1:]
	o.current.last = true
	o.current.lookup = affinity.LookupAny
	o.current.reason = reasonLast
	return o.current, true
}

func (o *candidateOrder) withLookup(c candidate, lookup affinity.LookupMode) candidate {
	c.lookup = lookup
	if lookup == affinity.LookupHeld {
		c.reason = reasonProbed
	} else if len(o.full) > 0 {
		c.reason = reasonSpill
	}
	return c
}

// refused tells why the candidate of the last next did not admit the work.
func (o *candidateOrder) refused(err error) {
	if o.current.last {
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
	o.asked++
	if code.Is(err, code.EndpointFull) {
		o.full = append(o.full, o.current)
	}
}
