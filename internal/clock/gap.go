// Package clock reads the boot-time clock, and compares the monotonic clock with the wall
// clock.
package clock

import "time"

// Gap returns the time between two results of time.Now on the clock that has advanced
// further. The monotonic clock stops while a VM is suspended, and the wall clock may be
// set back.
func Gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
