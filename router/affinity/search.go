package affinity

import "time"

// Bounds of a search for the context of a chat.
const (
	// maxDeclines is the number of homes that may decline a chat before any
	// candidate may admit it.
	maxDeclines = 20
	// maxProbes is the number of further candidates that are asked for the chat's
	// context after a home did not know the chat.
	maxProbes = 2
)

// Search yields the candidates of one request in the order in which their homes
// are asked.
//
// Candidates are asked for the chat's context until one admits the chat, is
// full, or the search has reached its bounds. From then on the candidates are
// asked in their order to admit the chat, whatever their homes' indexes say. So
// all candidates before the one that admitted a chat have refused it, and the
// next search follows the same path. A Search is not safe for concurrent use.
type Search struct {
	// full marks the candidates that are full.
	full []bool
	// next is the next candidate to ask for the context, current the last one that
	// Next returned.
	next     int
	current  int
	declines int
	probes   int
	// unknownCandidate is the candidate whose home did not know the chat.
	unknownCandidate int
	// lastHolder is the candidate that had the chat's context last, lastHolderAge
	// how long ago it admitted the chat.
	lastHolder    int
	lastHolderAge time.Duration
	// remaining are the candidates still to be asked in phaseAskAll.
	remaining []int
	phase     phase
}

// phase is a phase of a Search.
type phase int

const (
	// phaseFollow asks the candidates in order for the chat's context.
	phaseFollow phase = iota
	// phaseProbe asks up to maxProbes further candidates for the context after a
	// home did not know the chat.
	phaseProbe
	// phaseAskAll asks the remaining candidates to admit the chat without its
	// context.
	phaseAskAll
)

// noCandidate is the index that stands for no candidate.
const noCandidate = -1

// NewSearch returns a Search over count candidates, best first. findContext
// reports whether to look for the chat's context; otherwise the candidates are
// asked in their order.
func NewSearch(count int, findContext bool) *Search {
	s := &Search{full: make([]bool, count), current: noCandidate, unknownCandidate: noCandidate, lastHolder: noCandidate}
	if !findContext {
		s.startAskAll()
	}
	return s
}

// Next returns the index of the candidate to ask next and the mode in which its
// home uses its Index. ok is false when no candidate remains.
func (s *Search) Next() (index int, mode LookupMode, ok bool) {
	switch s.phase {
	case phaseFollow:
		s.current, mode = s.next, LookupReturning
		s.next++
	case phaseProbe:
		s.current, mode = s.next, LookupHeld
		s.next++
		s.probes++
	}
	if s.phase != phaseAskAll && s.current < len(s.full) {
		return s.current, mode, true
	}
	if s.phase != phaseAskAll {
		s.startAskAll()
	}
	if len(s.remaining) == 0 {
		return 0, LookupAny, false
	}
	s.current, s.remaining = s.remaining[0], s.remaining[1:]
	return s.current, LookupAny, true
}

// RecordRefusal records why the candidate that Next returned last did not admit
// the request.
func (s *Search) RecordRefusal(refusal Refusal) {
	if refusal == RefusalFull {
		s.full[s.current] = true
	}
	switch s.phase {
	case phaseFollow:
		s.followRefusal(refusal)
	case phaseProbe:
		if s.probes == maxProbes {
			s.startAskAll()
		}
	}
}

// RecordContextLeft records a refusal with RefusalContextLeft. age is how long
// ago the candidate admitted the chat.
func (s *Search) RecordContextLeft(age time.Duration) {
	if s.lastHolder == noCandidate || age < s.lastHolderAge {
		s.lastHolder, s.lastHolderAge = s.current, age
	}
	s.RecordRefusal(RefusalContextLeft)
}

// followRefusal chooses the next phase after a refusal in phaseFollow.
func (s *Search) followRefusal(refusal Refusal) {
	switch refusal {
	case RefusalFull:
		s.startAskAll()
	case RefusalContextUnknown:
		s.unknownCandidate = s.current
		s.phase = phaseProbe
	case RefusalContextElsewhere, RefusalContextLeft:
		s.declines++
		if s.declines == maxDeclines {
			s.startAskAll()
		}
	}
}

// startAskAll starts phaseAskAll: the candidate whose home did not know the chat
// is asked first, then the one that had the context last, then the others in
// their order, except those that are full. So a chat that all candidates refused
// returns to the engine with its context.
func (s *Search) startAskAll() {
	s.phase = phaseAskAll
	s.remaining = make([]int, 0, len(s.full))
	if s.unknownCandidate != noCandidate {
		s.remaining = append(s.remaining, s.unknownCandidate)
	}
	if s.lastHolder != noCandidate && s.lastHolder != s.unknownCandidate {
		s.remaining = append(s.remaining, s.lastHolder)
	}
	for index, refused := range s.full {
		if !refused && index != s.unknownCandidate && index != s.lastHolder {
			s.remaining = append(s.remaining, index)
		}
	}
}
