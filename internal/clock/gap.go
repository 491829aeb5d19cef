// Package clock compares the monotonic and the wall clock.
package clock

import "time"

// Gap returns the time between two readings of time.Now by the clock that has
// moved further: the monotonic one stands still while a VM is suspended, and
// the wall clock may be set.
func Gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
