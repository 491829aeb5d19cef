package routebench

import "math/rand/v2"

// TwoChoicesStrategy chooses the less loaded of two random engines, based on
// their reported loads.
type TwoChoicesStrategy struct {
	reportedLoads
	random *rand.Rand
}

// Name returns the strategy's name in tables.
func (s *TwoChoicesStrategy) Name() string { return "random of two" }

// Start prepares the strategy for a fleet.
func (s *TwoChoicesStrategy) Start(f *Fleet) {
	s.fleet = f
	s.random = rand.New(rand.NewPCG(1, 2))
}

// Place chooses an engine without a cap.
func (s *TwoChoicesStrategy) Place(*Request, int) Placement {
	first, second := s.drawEngine(), s.drawEngine()
	if s.fleet.engines[second].reported < s.fleet.engines[first].reported {
		first = second
	}
	return Placement{Engine: first, Asked: 1}
}

func (s *TwoChoicesStrategy) drawEngine() int {
	for {
		number := s.random.IntN(len(s.fleet.engines))
		if s.fleet.engines[number].live {
			return number
		}
	}
}
