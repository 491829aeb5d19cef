package routebench

import (
	"encoding/json"

	"cardamompoint.example/cardamompoint/router/balance"
)

// EntryStrategy lets the router that receives a request decide. To the load that
// the router itself has sent to an engine it adds the loads that the other
// routers shared in the last exchange.
type EntryStrategy struct {
	fleet *Fleet
	// ownLoads are the current loads by router and engine, in tokens, sharedLoads
	// those of the last exchange. totalShared are the sums of sharedLoads by engine.
	ownLoads    [][]int
	sharedLoads [][]int
	totalShared []int
	// ownSums, sharedSums and totalSharedSum are the sums over all engines.
	ownSums        []int
	sharedSums     []int
	totalSharedSum int
}

// Name returns the strategy's name in tables.
func (s *EntryStrategy) Name() string { return "entry, lagged loads" }

// Start prepares the strategy for a fleet.
func (s *EntryStrategy) Start(f *Fleet) {
	s.fleet = f
	s.ownLoads = make([][]int, f.deployment.Routers)
	s.sharedLoads = make([][]int, f.deployment.Routers)
	s.ownSums = make([]int, f.deployment.Routers)
	s.sharedSums = make([]int, f.deployment.Routers)
	s.EnginesChanged()
}

// EnginesChanged extends the counts to new engines.
func (s *EntryStrategy) EnginesChanged() {
	size := len(s.fleet.engines)
	s.totalShared = grow(s.totalShared, size)
	for i := range s.ownLoads {
		s.ownLoads[i] = grow(s.ownLoads[i], size)
		s.sharedLoads[i] = grow(s.sharedLoads[i], size)
	}
}

func grow(counts []int, size int) []int {
	return append(counts, make([]int, size-len(counts))...)
}

// Place chooses the first engine that is below the cap by the receiving router's
// counts.
func (s *EntryStrategy) Place(r *Request, hint int) Placement {
	placement := Placement{Engine: noEngine, counter: r.Entry}
	mean := s.mean(r.Entry)
	var buffer [maxCandidates + 1]int
	for _, number := range s.fleet.candidates(buffer[:0], r, hint) {
		placement.Asked = 1
		if s.fleet.underCap(s.load(r.Entry, number), mean, r) {
			s.add(r.Entry, number, r.MaxAnswerTokens)
			placement.Engine = number
			break
		}
		placement.HintFull = placement.HintFull || number == hint
	}
	return placement
}

func (s *EntryStrategy) load(entry, number int) int {
	return s.totalShared[number] - s.sharedLoads[entry][number] + s.ownLoads[entry][number]
}

func (s *EntryStrategy) mean(entry int) float64 {
	sum := s.totalSharedSum - s.sharedSums[entry] + s.ownSums[entry]
	return float64(sum) / float64(s.fleet.live)
}

func (s *EntryStrategy) add(entry, number, tokens int) {
	s.ownLoads[entry][number] += tokens
	s.ownSums[entry] += tokens
}

// Release releases the capacity of a request.
func (s *EntryStrategy) Release(r *Request, p Placement) {
	s.add(p.counter, p.Engine, -r.MaxAnswerTokens)
}

// Exchange sends each router's loads by engine to all others.
func (s *EntryStrategy) Exchange() int {
	clear(s.totalShared)
	s.totalSharedSum = 0
	bytes := 0
	for i, counts := range s.ownLoads {
		copy(s.sharedLoads[i], counts)
		s.sharedSums[i] = s.ownSums[i]
		s.totalSharedSum += s.ownSums[i]
		message := map[string]balance.ModelLoad{}
		for number, tokens := range counts {
			s.totalShared[number] += tokens
			if tokens > 0 {
				message[s.fleet.engines[number].address] = balance.ModelLoad{Tokens: tokens, Requests: 1}
			}
		}
		encoded, _ := json.Marshal(message)
		bytes += len(encoded)
	}
	return bytes * 2 * (len(s.ownLoads) - 1) / len(s.ownLoads)
}

// RouterReplaced does nothing: router replacements are not simulated for this
// strategy.
func (s *EntryStrategy) RouterReplaced(int) {}
