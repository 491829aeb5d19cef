package router

import "cardamompoint.example/cardamompoint/affinity"

// candidateOrder yields the candidates of one attempt in the order in which
// their homes are asked. It is not safe for concurrent use.
type candidateOrder struct {
	left   []candidate
	search *affinity.Search
	full   int
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

// next returns the candidate to ask next, with the reason for the log, until
// maxAsked of them have refused the work for other reasons than its context.
func (o *candidateOrder) next() (candidate, bool) {
	if o.full == maxAsked {
		return candidate{}, false
	}
	index, lookup, ok := o.search.Next()
	if !ok {
		return candidate{}, false
	}
	c := o.left[index]
	c.lookup = lookup
	if lookup == affinity.LookupHeld {
		c.reason = reasonProbed
		return c, true
	}
	if o.full > 0 {
		c.reason = reasonSpill
	}
	return c, true
}

// refused tells why the candidate of the last next did not admit the work.
func (o *candidateOrder) refused(err error) {
	refusal := refusalOf(err)
	if refusal == affinity.RefusalFull {
		o.full++
	}
	o.search.Refused(refusal)
}
