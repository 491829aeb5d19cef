package contention

import (
	"math"
	"time"
)

// remainingMS is the expected remaining time of a period of contention, in milliseconds: the mean of an exponential
// distribution with the half-life HalfLife.
const remainingMS = float64(HalfLife) / float64(time.Millisecond) / math.Ln2

// ExtraMS returns the delay that contention by the given factor adds to work that usually takes workMS, in
// milliseconds. It is proportional to short work; long work is only delayed until the period ends.
func ExtraMS(factor, workMS float64) float64 {
	if factor <= 1 {
		return 0
	}
	return min(factor*workMS, remainingMS) * (1 - 1/factor)
}
