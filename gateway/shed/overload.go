package shed

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// minRetryAfter is the shortest time after which a refused caller should return.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds that time for callers whose time left is not known.
	maxRetryAfter = 5 * time.Second
	// maxWaitShare is the share of its time left that a caller should wait at most, so that
	// there is time for the answer.
	maxWaitShare = 1.0 / 3
	// mostlyRefused is the chance of being refused again from which a caller should wait for the
	// end of the overload. Below it, a return at once more often brings an answer in time.
	mostlyRefused = 0.5
	// overloadGap is the time without refusals after which an overload has ended.
	overloadGap = time.Second
)

// overload is a time in which requests are refused. The zero value has seen none.
type overload struct {
	began       clock.Boot
	lastRefusal clock.Boot
}

// retryAfter records a refusal and returns when the caller should return. An overload that has
// lasted for some time is expected to last as long again. A caller has few attempts, so one that
// returns too early is refused for good; callers are spread, so that they don't return together.
func (o *overload) retryAfter(r Request, probability float64, now clock.Boot) time.Duration {
	if o.lastRefusal == 0 || now.Sub(o.lastRefusal) > overloadGap {
		o.began = now
	}
	o.lastRefusal = now
	spread := float64(uint32(r.Draw)) / (1 << 32)
	if probability < mostlyRefused {
		return minRetryAfter + time.Duration(spread*float64(minRetryAfter))
	}
	wait := minRetryAfter + time.Duration((0.5+spread)*float64(now.Sub(o.began)))
	limit := maxRetryAfter
	if r.TimeLeft > 0 {
		limit = time.Duration(maxWaitShare * float64(r.TimeLeft))
	}
	if wait > limit {
		wait = time.Duration((0.5 + spread/2) * float64(limit))
	}
	return max(minRetryAfter, wait)
}
