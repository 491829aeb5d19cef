package contention

import (
	"math"
	"time"
)

// restMS is the expected rest of a period of contention, in milliseconds: the mean of a duration that halves its
// chance to go on with each HalfLife.
const restMS = float64(HalfLife) / float64(time.Millisecond) / math.Ln2

// ExtraMS returns the delay that contention by the given factor adds to work that usually takes workMS, in
// milliseconds. It is proportional to short work; long work is only delayed for the rest of the period.
func ExtraMS(factor, workMS float64) float64 {
	if factor <= 1 {
		return 0
	}
	return min(factor*workMS, restMS) * (1 - 1/factor)
}
