package placement

import (
	"math"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/router/config"
)

const (
	// scaleUpUtilization is the mean load per replica, as a fraction of its
	// capacity, above which a replica is added.
	scaleUpUtilization = 0.7
	// scaleDownUtilization is the mean load per replica that would be left, as a
	// fraction of its capacity, up to which a replica is removed. The distance to
	// scaleUpUtilization prevents a steady load from changing the count.
	scaleDownUtilization = 0.4
	// scaleDownDelay is how long the load must stay low before a replica is
	// removed.
	scaleDownDelay = 2 * time.Minute
)

// Scaler adapts the number of replicas of each model to the model's load. It is
// safe for concurrent use.
type Scaler struct {
	capacity float64

	mu     sync.Mutex
	states map[string]scaleState
}

// scaleState is the number of replicas of a model and since when its load has
// been low enough to remove one; zero if it is not.
type scaleState struct {
	replicas int
	lowSince time.Time
}

// NewScaler returns a Scaler for engines with a capacity of the given number of
// tokens in progress each.
func NewScaler(capacity int) *Scaler {
	return &Scaler{capacity: float64(capacity), states: map[string]scaleState{}}
}

// Replicas returns the number of replicas of the model for a load of the given
// number of tokens in progress in the whole fleet. The result is within the
// published bounds and the number of engines.
func (s *Scaler) Replicas(model config.Model, engines int, tokens int, now time.Time) int {
	minReplicas, maxReplicas := replicaBounds(model, engines)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.states[model.Name]
	if !known {
		state.replicas = minReplicas
	}
	state = s.nextState(state, float64(tokens), minReplicas, now)
	state.replicas = max(minReplicas, min(state.replicas, maxReplicas))
	s.states[model.Name] = state
	return state.replicas
}

// CurrentReplicas returns the result of the last call of Replicas for the model,
// and whether there was one.
func (s *Scaler) CurrentReplicas(model string) (replicas int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.states[model]
	return state.replicas, known
}

// replicaBounds returns the minimum and maximum number of replicas of the model.
// A model without a minimum always has the maximum.
func replicaBounds(model config.Model, engines int) (minReplicas, maxReplicas int) {
	maxReplicas = engines
	if model.Max > 0 {
		maxReplicas = min(model.Max, engines)
	}
	minReplicas = model.Min
	if minReplicas == 0 {
		minReplicas = maxReplicas
	}
	return min(minReplicas, maxReplicas), maxReplicas
}

// nextState adds as many replicas as the load requires at once, and removes one
// at a time after a low load of scaleDownDelay.
func (s *Scaler) nextState(state scaleState, tokens float64, minReplicas int, now time.Time) scaleState {
	needed := int(math.Ceil(tokens / (s.capacity * scaleUpUtilization)))
	if needed > state.replicas {
		return scaleState{replicas: needed}
	}
	fewer := state.replicas - 1
	if fewer < minReplicas || tokens > float64(fewer)*s.capacity*scaleDownUtilization {
		return scaleState{replicas: state.replicas}
	}
	if state.lowSince.IsZero() {
		state.lowSince = now
	}
	if now.Sub(state.lowSince) < scaleDownDelay {
		return state
	}
	return scaleState{replicas: fewer, lowSince: now}
}
