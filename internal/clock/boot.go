package clock

import "time"

// Boot is a time on the boot-time clock: the time since the VM booted, including the time
// for which it was suspended. Setting the wall clock does not change it.
type Boot time.Duration

// Now reads the boot-time clock, or the clock of SetSource.
func Now() Boot {
	if now := source.Load(); now != nil {
		return (*now)()
	}
	return readBoot()
}

// Sub returns the time from earlier to b.
func (b Boot) Sub(earlier Boot) time.Duration {
	return time.Duration(b - earlier)
}

// Add returns the time d after b.
func (b Boot) Add(d time.Duration) Boot {
	return b + Boot(d)
}
