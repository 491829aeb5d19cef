package budget

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// buckets is the number of counts that make up a window.
const buckets = 10

// window counts events in a sliding time. The oldest bucket is kept whole, so
// that it never counts too few.
type window struct {
	width  time.Duration
	counts [buckets + 1]float64
	newest int64
}

func newWindow(length time.Duration) *window {
	return &window{width: max(length/buckets, time.Millisecond)}
}

func (w *window) add(now clock.Boot, amount float64) {
	w.advance(now)
	w.counts[w.newest%int64(len(w.counts))] += amount
}

func (w *window) sum(now clock.Boot) float64 {
	w.advance(now)
	total := 0.0
	for _, count := range w.counts {
		total += count
	}
	return total
}

// advance clears the buckets between the newest one and now's.
func (w *window) advance(now clock.Boot) {
	at := int64(now) / int64(w.width)
	steps := min(at-w.newest, int64(len(w.counts)))
	for step := range steps {
		w.counts[(at-step)%int64(len(w.counts))] = 0
	}
	w.newest = max(w.newest, at)
}
