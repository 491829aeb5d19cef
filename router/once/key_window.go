package once

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// KeyWindow defines when a CallerKey may be used. Its bounds apply to the clocks
// of routers; callers' clocks may deviate by any amount.
type KeyWindow struct {
	// Lifetime is how long after its issue a key may be used.
	Lifetime time.Duration
	// MaxSkew bounds the difference between the wall clocks of two routers.
	MaxSkew time.Duration
	// MaxListAge is the maximum age of a router's list of VMs.
	MaxListAge time.Duration
}

// Check returns nil if a key that was issued at the given time may be used at
// now, else a KeyExpired or KeyFromFuture error.
func (w KeyWindow) Check(issued, now time.Time) error {
	if ahead := issued.Sub(now); ahead > w.MaxSkew {
		return code.New(code.KeyFromFuture, "the key's time of issue is %v in the future", ahead).After(ahead)
	}
	if now.After(issued.Add(w.Lifetime)) {
		return code.New(code.KeyExpired, "the key is older than %v", w.Lifetime)
	}
	return nil
}

// ForgetAfter returns the time after which the grants and records of a key may
// be removed.
func (w KeyWindow) ForgetAfter(issued time.Time) time.Time {
	return issued.Add(w.Lifetime + 2*w.MaxSkew)
}

// Covers reports whether a router that started and joined the key's group at the
// given times still has every grant that it made for the key.
func (w KeyWindow) Covers(issued, started, joined time.Time) bool {
	oldest := issued.Add(-2 * w.MaxSkew)
	return started.Before(oldest) && joined.Before(oldest.Add(-w.MaxListAge))
}
