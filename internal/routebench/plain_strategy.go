package routebench

// PlainStrategy chooses the chat's highest-ranked engine, without a cap.
type PlainStrategy struct{ reportedLoads }

// Name returns the strategy's name in tables.
func (s *PlainStrategy) Name() string { return "plain rendezvous" }

// Place chooses an engine without a cap.
func (s *PlainStrategy) Place(r *Request, _ int) Placement {
	return Placement{Engine: s.fleet.ranked(r, 1)[0], Asked: 1}
}

// Exchange sends nothing.
func (s *PlainStrategy) Exchange() int { return 0 }
