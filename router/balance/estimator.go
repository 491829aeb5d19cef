package balance

import (
	"sync"

	"cardamompoint.example/cardamompoint/router/template"
)

const (
	// estimateSmoothing is the weight of the newest answer in the exponential
	// moving average of the lengths.
	estimateSmoothing = 0.1
	// maxEstimates bounds the pairs of a workspace and a priority class.
	maxEstimates = 30000
)

// Estimator estimates the lengths of answers, in tokens, by workspace and
// priority class. It is safe for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	lengths map[estimateKey]float64
}

type estimateKey struct {
	workspace string
	priority  template.Priority
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{lengths: map[estimateKey]float64{}}
}

// Estimate returns the expected number of tokens of an answer, from 1 to
// maxTokens. It is maxTokens if no answer was observed.
func (e *Estimator) Estimate(workspace string, priority template.Priority, maxTokens int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	length, ok := e.lengths[estimateKey{workspace, priority}]
	if !ok {
		return maxTokens
	}
	return max(1, min(maxTokens, int(length+0.5)))
}

// Observe records the length of a finished answer, in tokens.
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
	e.lengths[key] = length + estimateSmoothing*(float64(tokens)-length)
}
