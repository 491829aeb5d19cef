package routebench

import (
	"encoding/json"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// reportedLoads is the common part of strategies that read the loads that engines
// report.
type reportedLoads struct {
	fleet *Fleet
	// totalTokens is the sum of the reported loads.
	totalTokens int
}

// Start prepares the strategy for a fleet.
func (s *reportedLoads) Start(f *Fleet) { s.fleet = f }

// EnginesChanged does nothing.
func (s *reportedLoads) EnginesChanged() {}

// RouterReplaced does nothing.
func (s *reportedLoads) RouterReplaced(int) {}

// Release does nothing.
func (s *reportedLoads) Release(*Request, Placement) {}

// Exchange reads the load reports of all engines.
func (s *reportedLoads) Exchange() int {
	bytes := 0
	s.totalTokens = 0
	for _, e := range s.fleet.engines {
		if !e.live {
			continue
		}
		e.reported = e.tokens
		s.totalTokens += e.tokens
		encoded, _ := json.Marshal(endpoint.Load{Requests: e.requests, Tokens: e.tokens, Models: []string{model}})
		bytes += len(encoded)
	}
	return bytes
}

// mean returns the mean of the reported loads.
func (s *reportedLoads) mean() float64 {
	return float64(s.totalTokens) / float64(s.fleet.live)
}
