package estimate

import (
	"math"
	"time"
)

// Decay returns the factor by which a count shrinks over a time: a half for each halfLife. It is 1 if
// elapsed is not positive.
func Decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halfLife))
}
