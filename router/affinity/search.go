package affinity

import "time"

// The bounds of a search for the context of a chat.
const (
	// maxPassedOn is how often a chat is passed on before it is settled.
	maxPassedOn = 20
	// maxProbes is how many further candidates are asked when a home does not
	// know the chat.
	maxProbes = 2
)

// Search yields the candidates of one request in the order in which their homes
// are asked.
//
// A chat is passed on until a home admits it or its engine is full. From then on
// the candidates are asked in their order, whatever their homes remember. So
// all candidates before the one that admitted a chat have refused it, and the
// next search follows them. It is not safe for concurrent use.
type Search struct {
	refused  []bool
	next     int
	asked    int
	passedOn int
	probes   int
	unknown  int
	// left is the candidate that had the chat's context last, leftAge how long
	// ago it admitted the chat.
	left    int
	leftAge time.Duration
	settled []int
	phase   phase
}

type phase int

const (
	phaseWalk phase = iota
	phaseProbe
	phaseSettle
)

// noCandidate stands for the lack of an index.
const noCandidate = -1

// NewSearch returns a Search over count candidates, best first. search tells
// whether the chat's context is looked for; otherwise the candidates are asked
// in their order.
func NewSearch(count int, search bool) *Search {
	s := &Search{refused: make([]bool, count), asked: noCandidate, unknown: noCandidate, left: noCandidate}
	if !search {
		s.settle()
	}
	return s
}

// Next returns the index of the candidate to ask next and how its home is to
// use its Index. ok is false when no candidate is left.
func (s *Search) Next() (index int, lookup LookupMode, ok bool) {
	switch s.phase {
	case phaseWalk:
		s.asked, lookup = s.next, LookupReturning
		s.next++
	case phaseProbe:
		s.asked, lookup = s.next, LookupHeld
		s.next++
		s.probes++
	}
	if s.phase != phaseSettle && s.asked < len(s.refused) {
		return s.asked, lookup, true
	}
	if s.phase != phaseSettle {
		s.settle()
	}
	if len(s.settled) == 0 {
		return 0, LookupAny, false
	}
	s.asked, s.settled = s.settled[0], s.settled[1:]
	return s.asked, LookupAny, true
}

// Refused tells why the candidate of the last Next did not admit the request.
func (s *Search) RecordRefusal(refusal Refusal) {
	if refusal == RefusalFull {
		s.refused[s.asked] = true
	}
	switch s.phase {
	case phaseWalk:
		s.walk(refusal)
	case phaseProbe:
		if s.probes == maxProbes {
			s.settle()
		}
	}
}

// RefusedLeft is Refused with RefusalLeft; age is how long ago the candidate
// admitted the chat.
func (s *Search) RecordContextLeft(age time.Duration) {
	if s.left == noCandidate || age < s.leftAge {
		s.left, s.leftAge = s.asked, age
	}
	s.RecordRefusal(RefusalContextLeft)
}

func (s *Search) walk(refusal Refusal) {
	switch refusal {
	case RefusalFull:
		s.settle()
	case RefusalContextUnknown:
		s.unknown = s.asked
		s.phase = phaseProbe
	case RefusalContextElsewhere, RefusalContextLeft:
		s.passedOn++
		if s.passedOn == maxPassedOn {
			s.settle()
		}
	}
}

// settle lets the remaining candidates be asked in their order, after the one
// whose home did not know the chat and the one that had the context last. So a
// chat that all candidates refused goes back to its context.
func (s *Search) settle() {
	s.phase = phaseSettle
	s.settled = make([]int, 0, len(s.refused))
	if s.unknown != noCandidate {
		s.settled = append(s.settled, s.unknown)
	}
	if s.left != noCandidate && s.left != s.unknown {
		s.settled = append(s.settled, s.left)
	}
	for index, refused := range s.refused {
		if !refused && index != s.unknown && index != s.left {
			s.settled = append(s.settled, index)
		}
	}
}
