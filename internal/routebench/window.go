package routebench

import "time"

// window finds the largest of the values that were added within the last
// exchange period.
type window struct {
	// values fall from the front to the back.
	values []sample
}

type sample struct {
	at    time.Duration
	value float64
}

func (w *window) add(at time.Duration, value float64) {
	for len(w.values) > 0 && w.values[len(w.values)-1].value <= value {
		w.values = w.values[:len(w.values)-1]
	}
	w.values = append(w.values, sample{at, value})
}

func (w *window) largest(now time.Duration) float64 {
	for w.values[0].at < now-exchangePeriod {
		w.values = w.values[1:]
	}
	return w.values[0].value
}
