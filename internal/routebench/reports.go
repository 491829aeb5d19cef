package routebench

import (
	"encoding/json"

	"cardamompoint.example/cardamompoint/router/endpoint"
)

// reports is what ways share that read the loads that engines report.
type reports struct {
	fleet *Fleet
	sum   int
}

// Start prepares the way for a fleet.
func (w *reports) Start(f *Fleet) { w.fleet = f }

// EnginesChanged does nothing.
func (w *reports) EnginesChanged() {}

// RouterReplaced does nothing.
func (w *reports) RouterReplaced(int) {}

// Release does nothing.
func (w *reports) Release(*Request, Placement) {}

// Exchange reads the reports of all engines.
func (w *reports) Exchange() int {
	bytes := 0
	w.sum = 0
	for _, e := range w.fleet.engines {
		if !e.live {
			continue
		}
		e.reported = e.tokens
		w.sum += e.tokens
		encoded, _ := json.Marshal(endpoint.Load{Requests: e.requests, Tokens: e.tokens, Models: []string{model}})
		bytes += len(encoded)
	}
	return bytes
}

// mean returns the mean of the reported loads.
func (w *reports) mean() float64 {
	return float64(w.sum) / float64(w.fleet.live)
}
