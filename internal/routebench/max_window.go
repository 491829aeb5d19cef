package routebench

import "time"

// maxWindow finds the largest of the values added within the last exchange
// period.
type maxWindow struct {
	// values decrease from the front to the back. A value is dropped when a later
	// one is at least as large.
	values []sample
}

type sample struct {
	at    time.Duration
	value float64
}

func (w *maxWindow) add(at time.Duration, value float64) {
	for len(w.values) > 0 && w.values[len(w.values)-1].value <= value {
		w.values = w.values[:len(w.values)-1]
	}
	w.values = append(w.values, sample{at, value})
}

// largest returns the largest value added within the exchange period before now,
// and drops older values. There must be one.
func (w *maxWindow) largest(now time.Duration) float64 {
	for w.values[0].at < now-exchangePeriod {
		w.values = w.values[1:]
	}
	return w.values[0].value
}
