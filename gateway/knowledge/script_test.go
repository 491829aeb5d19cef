package knowledge

import (
	"math/rand/v2"
	"time"
)

// script draws what one loop of a series does. No other loop draws from it, so that what it draws depends
// on the seed alone, not on how goroutines interleave.
type script struct {
	*rand.Rand
}

// newScript returns the script of the next loop.
func (s *series) newScript() script {
	s.loops++
	return script{rand.New(rand.NewPCG(s.seed, s.loops))}
}

// between draws a duration.
func (s script) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.Float64()*float64(to-from))
}

// fault draws a fault of the store.
func (s script) fault() storeFault {
	return storeFault(1 + s.IntN(2))
}
