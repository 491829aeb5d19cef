package routebench

import (
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/source"
)

// subsetFraction is the fraction of the engines that one router uses.
const subsetFraction = 0.5

// SubsetStrategy lets each router use a fixed subset of the engines, based on
// their reported loads and the load that the router has sent since.
type SubsetStrategy struct {
	reportedLoads
	subsets []map[int]bool
	sent    []map[int]int
}

// Name returns the strategy's name in tables.
func (s *SubsetStrategy) Name() string { return "subsets, reported loads" }

// Start prepares the strategy for a fleet.
func (s *SubsetStrategy) Start(f *Fleet) {
	s.fleet = f
	s.sent = make([]map[int]int, f.deployment.Routers)
	for i := range s.sent {
		s.sent[i] = map[int]int{}
	}
	s.EnginesChanged()
}

// EnginesChanged recomputes the subsets.
func (s *SubsetStrategy) EnginesChanged() {
	size := int(subsetFraction * float64(s.fleet.live))
	s.subsets = nil
	for _, router := range s.fleet.routers {
		subset := map[int]bool{}
		var buffer []source.VM
		for _, vm := range s.fleet.view.Pool(engineGroup).AppendRanked(buffer, rank.Key("subset", router), size) {
			subset[s.fleet.byAddress[vm.Address]] = true
		}
		s.subsets = append(s.subsets, subset)
	}
}

// Place chooses the chat's first candidate below the cap within the subset of the
// router that received the request.
func (s *SubsetStrategy) Place(r *Request, hint int) Placement {
	placement := Placement{Engine: noEngine, Asked: 1}
	mean, sent := s.mean(), s.sent[r.Entry]
	var buffer [maxCandidates + 1]int
	for _, number := range s.fleet.candidates(buffer[:0], r, hint) {
		if !s.subsets[r.Entry][number] {
			continue
		}
		if s.fleet.underCap(s.fleet.engines[number].reported+sent[number], mean, r) {
			sent[number] += r.MaxAnswerTokens
			placement.Engine = number
			break
		}
		placement.HintFull = placement.HintFull || number == hint
	}
	return placement
}

// Exchange reads the load reports of the engines in each router's subset.
func (s *SubsetStrategy) Exchange() int {
	for _, sent := range s.sent {
		clear(sent)
	}
	return int(subsetFraction * float64(s.reportedLoads.Exchange()))
}
