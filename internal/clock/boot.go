package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the time since the VM started, also while it was suspended. Setting
// the time of day does not change it.
type Boot time.Duration

// Now reads the boot-time clock.
func Now() Boot {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists in each supported kernel.
		panic(err)
	}
	return Boot(now.Nano())
}

// Sub returns the time from earlier to b.
func (b Boot) Sub(earlier Boot) time.Duration {
	return time.Duration(b - earlier)
}

// Add returns the reading d later.
func (b Boot) Add(d time.Duration) Boot {
	return b + Boot(d)
}
