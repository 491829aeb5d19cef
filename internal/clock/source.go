package clock

import (
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// source is the clock that Now reads instead of the boot-time clock, nil in all processes but
// tests.
var source atomic.Pointer[func() Boot]

// SetSource sets the clock that Now reads; nil stands for the boot-time clock. It is for tests in
// virtual time.
func SetSource(now func() Boot) {
	if now == nil {
		source.Store(nil)
		return
	}
	source.Store(&now)
}

// readBoot reads the boot-time clock.
func readBoot() Boot {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// All supported kernels have this clock.
		panic(err)
	}
	return Boot(now.Nano())
}
