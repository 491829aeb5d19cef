package placement

import (
	"math"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/router/config"
)

const (
	// scaleUpLoad is the mean load of a replica, as a part of its capacity,
	// above which a replica is added.
	scaleUpLoad = 0.7
	// scaleDownLoad is the mean load of the replicas that would be left, as a
	// part of their capacity, below which a replica is removed. The distance
	// to scaleUpLoad keeps a steady load from changing the count.
	scaleDownLoad = 0.4
	// scaleDownHold is how long the load must stay low before a replica is
	// removed.
	scaleDownHold = 2 * time.Minute
)

// Scaler follows the load of models with the number of their replicas. It is
// safe for concurrent use.
type Scaler struct {
	capacity float64

	mu     sync.Mutex
	states map[string]scaleState
}

// scaleState is what a Scaler remembers of a model.
type scaleState struct {
	replicas int
	lowSince time.Time
}

// NewScaler returns a Scaler for engines that carry capacity tokens each.
func NewScaler(capacity int) *Scaler {
	return &Scaler{capacity: float64(capacity), states: map[string]scaleState{}}
}

// Replicas returns the number of replicas of the model for a load of tokens in
// progress over the whole fleet. The result stays within the published bounds.
func (s *Scaler) Replicas(model config.Model, engines int, tokens int, now time.Time) int {
	low, high := bounds(model, engines)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.states[model.Name]
	if !known {
		state.replicas = low
	}
	state = s.step(state, float64(tokens), low, now)
	state.replicas = max(low, min(state.replicas, high))
	s.states[model.Name] = state
	return state.replicas
}

// Count returns the result of the model's last call of Replicas, and whether
// there was one.
func (s *Scaler) CurrentReplicas(model string) (replicas int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known := s.states[model]
	return state.replicas, known
}

func bounds(model config.Model, engines int) (low, high int) {
	high = engines
	if model.Max > 0 {
		high = min(model.Max, engines)
	}
	low = model.Min
	if low == 0 {
		low = high
	}
	return min(low, high), high
}

func (s *Scaler) step(state scaleState, tokens float64, low int, now time.Time) scaleState {
	needed := int(math.Ceil(tokens / (s.capacity * scaleUpLoad)))
	if needed > state.replicas {
		return scaleState{replicas: needed}
	}
	fewer := state.replicas - 1
	if fewer < low || tokens > float64(fewer)*s.capacity*scaleDownLoad {
		return scaleState{replicas: state.replicas}
	}
	if state.lowSince.IsZero() {
		state.lowSince = now
	}
	if now.Sub(state.lowSince) < scaleDownHold {
		return state
	}
	return scaleState{replicas: fewer, lowSince: now}
}
