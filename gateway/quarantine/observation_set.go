package quarantine

import "slices"

// observationSet holds observations, and which of them name each part.
type observationSet struct {
	byKey  map[observationKey]*Observation
	byPart map[uint64][]*Observation
}

func newObservationSet() observationSet {
	return observationSet{map[observationKey]*Observation{}, map[uint64][]*Observation{}}
}

// add adds an observation that is not in the set.
func (s *observationSet) add(key observationKey, o *Observation) {
	s.byKey[key] = o
	for _, part := range o.Parts {
		// A part that a report names twice is held once.
		if known := s.byPart[part]; len(known) == 0 || known[len(known)-1] != o {
			s.byPart[part] = append(known, o)
		}
	}
}

// remove removes an observation.
func (s *observationSet) remove(key observationKey) {
	o := s.byKey[key]
	delete(s.byKey, key)
	for _, part := range o.Parts {
		left := slices.DeleteFunc(s.byPart[part], func(other *Observation) bool { return other == o })
		if len(left) == 0 {
			delete(s.byPart, part)
		} else {
			s.byPart[part] = left
		}
	}
}

// repeated reports whether at least count observations name a part.
func (s *observationSet) repeated(part uint64, count int) bool {
	return len(s.byPart[part]) >= count
}
