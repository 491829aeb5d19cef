package balance

import "time"

const (
	// growthWindow is the time over which growth is measured. It makes up for the
	// age of the loads that peers report.
	growthWindow = time.Second
	// trendSteps is the number of sums kept over growthWindow.
	trendSteps    = 10
	trendInterval = growthWindow / trendSteps
)

// trend tracks the sum of a model's tokens and its history over the last
// growthWindow. The zero value is a sum of 0.
type trend struct {
	sum int
	// history is a ring buffer of the sums at the end of the last steps.
	history [trendSteps]int
	// step is the current step: the time in units of trendInterval.
	step int64
}

func (t *trend) add(tokens int, now time.Time) {
	t.advance(now)
	t.sum += tokens
}

// advance fills the history with the sum for the steps that have passed.
func (t *trend) advance(now time.Time) {
	step := now.UnixNano() / int64(trendInterval)
	missed := min(step-t.step, trendSteps)
	for i := range missed {
		t.history[(step-i)%trendSteps] = t.sum
	}
	t.step = max(t.step, step)
}

// growth returns by how much the sum exceeds the one growthWindow ago, but at
// least 0.
func (t *trend) growth(now time.Time) int {
	t.advance(now)
	oldest := t.history[(t.step+1)%trendSteps]
	return max(0, t.sum-oldest)
}
