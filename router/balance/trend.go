package balance

import "time"

const (
	// growthLag is the age of peers' loads that the growth makes up for.
	growthLag = time.Second
	// trendSteps is how many sums are kept over growthLag.
	trendSteps = 10
	trendStep  = growthLag / trendSteps
)

// trend keeps the sum of a model's tokens over the last growthLag. The zero
// value is a sum of 0.
type trend struct {
	sum  int
	past [trendSteps]int
	step int64
}

func (t *trend) add(tokens int, now time.Time) {
	t.advance(now)
	t.sum += tokens
}

// advance fills the steps that have passed with the sum.
func (t *trend) advance(now time.Time) {
	step := now.UnixNano() / int64(trendStep)
	missed := min(step-t.step, trendSteps)
	for i := range missed {
		t.past[(step-i)%trendSteps] = t.sum
	}
	t.step = max(t.step, step)
}

// growth returns by how much the sum is above the one growthLag ago.
func (t *trend) growth(now time.Time) int {
	t.advance(now)
	oldest := t.past[(t.step+1)%trendSteps]
	return max(0, t.sum-oldest)
}
