package budget

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// bucketCount is the number of buckets in a window's length.
const bucketCount = 10

// window counts events in a sliding window.
type window struct {
	// width is the length of a bucket.
	width time.Duration
	// counts is a ring of buckets, indexed by the bucket's number modulo its length.
	counts [bucketCount + 1]float64
	// newest is the number of the newest bucket: the time divided by width.
	newest int64
}

// newWindow returns an empty window of the given length.
func newWindow(length time.Duration) *window {
	return &window{width: max(length/bucketCount, time.Millisecond)}
}

// add counts events that happen now.
func (w *window) add(now clock.Boot, amount float64) {
	w.advance(now)
	w.counts[w.newest%int64(len(w.counts))] += amount
}

// sum returns the count of the events in the window that ends now. The oldest bucket counts in
// full until it has left the window, so the sum is never too low.
func (w *window) sum(now clock.Boot) float64 {
	w.advance(now)
	total := 0.0
	for _, count := range w.counts {
		total += count
	}
	return total
}

// mean returns the count of the events in the window that ends now. Of the oldest bucket it
// counts the part that still is in the window.
func (w *window) mean(now clock.Boot) float64 {
	total := w.sum(now)
	oldest := w.counts[(w.newest+1)%int64(len(w.counts))]
	left := int64(now) % int64(w.width)
	return total - oldest*float64(left)/float64(w.width)
}

// advance clears the buckets that begin after the newest one, up to that of now.
func (w *window) advance(now clock.Boot) {
	at := int64(now) / int64(w.width)
	steps := min(at-w.newest, int64(len(w.counts)))
	for step := range steps {
		w.counts[(at-step)%int64(len(w.counts))] = 0
	}
	w.newest = max(w.newest, at)
}
