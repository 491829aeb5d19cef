package balance

import (
	"sync"

	"cardamompoint.example/cardamompoint/router/template"
)

const (
	// estimateWeight is the weight of one answer in the expected length.
	estimateWeight = 0.1
	// maxEstimates bounds the workspaces and classes that are known.
	maxEstimates = 30000
)

// Estimator learns how long the answers of each workspace and class are. It is
// safe for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	lengths map[estimateKey]float64
}

type estimateKey struct {
	workspace string
	priority  template.Priority
}

// NewEstimator returns an Estimator that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{lengths: map[estimateKey]float64{}}
}

// Expect returns the tokens to expect of an answer that may have most tokens.
func (e *Estimator) Estimate(workspace string, priority template.Priority, most int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	length, ok := e.lengths[estimateKey{workspace, priority}]
	if !ok {
		return most
	}
	return max(1, min(most, int(length+0.5)))
}

// Learn takes in the length of a finished answer, in tokens.
func (e *Estimator) Observe(workspace string, priority template.Priority, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := estimateKey{workspace, priority}
	length, ok := e.lengths[key]
	if !ok && len(e.lengths) >= maxEstimates {
		return
	}
	if !ok {
		length = float64(tokens)
	}
	e.lengths[key] = length + estimateWeight*(float64(tokens)-length)
}
