package routebench

// PerfectStrategy knows the current loads and contexts of all engines. It chooses
// the engine below the cap that holds the chat's newest context, or else the
// highest-ranked engine below the cap.
type PerfectStrategy struct {
	reportedLoads
	// served are the engines that served each chat, the last one at the end.
	served map[int][]int
}

// Name returns the strategy's name in tables.
func (s *PerfectStrategy) Name() string { return "perfect knowledge" }

// Start prepares the strategy for a fleet.
func (s *PerfectStrategy) Start(f *Fleet) {
	s.fleet = f
	s.served = map[int][]int{}
}

// Place chooses the best engine of the whole fleet.
func (s *PerfectStrategy) Place(r *Request, hint int) Placement {
	placement := Placement{Engine: noEngine, Asked: 1}
	mean := s.fleet.mean()
	for _, number := range s.preferred(r) {
		if s.fleet.underCap(s.fleet.engines[number].tokens, mean, r) {
			placement.Engine = number
			s.recordServed(r.Chat, number)
			break
		}
		placement.HintFull = placement.HintFull || number == hint
	}
	return placement
}

// preferred returns the engines that hold the chat's context, the newest first,
// and then all engines in the chat's ranking.
func (s *PerfectStrategy) preferred(r *Request) []int {
	var wanted []int
	served := s.served[r.Chat]
	for i := len(served) - 1; i >= 0; i-- {
		e := s.fleet.engines[served[i]]
		if e.live && e.cache.Holds(r.Chat) {
			wanted = append(wanted, served[i])
		}
	}
	return append(wanted, s.fleet.ranked(r, 0)...)
}

// recordServed moves an engine to the end of those that served the chat.
func (s *PerfectStrategy) recordServed(chat, number int) {
	served := s.served[chat][:0]
	for _, other := range s.served[chat] {
		if other != number {
			served = append(served, other)
		}
	}
	s.served[chat] = append(served, number)
}

// Exchange sends nothing.
func (s *PerfectStrategy) Exchange() int { return 0 }
