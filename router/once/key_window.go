package once

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// Window bounds when a caller's own key may be used. The bounds hold for the
// clocks of routers; callers' clocks are free.
type KeyWindow struct {
	// Length is how long after its issue a key may be used.
	Lifetime time.Duration
	// Skew bounds the difference between the wall clocks of two routers.
	MaxSkew time.Duration
	// Lag is the allowed age of a router's list of VMs.
	MaxListAge time.Duration
}

// Check returns nil if a key that was issued at the given time may be used at
// now, else a KeyExpired or KeyFromFuture error.
func (w KeyWindow) Check(issued, now time.Time) error {
	if ahead := issued.Sub(now); ahead > w.MaxSkew {
		return code.New(code.KeyFromFuture, "the key's time is %v ahead", ahead).After(ahead)
	}
	if now.After(issued.Add(w.Lifetime)) {
		return code.New(code.KeyExpired, "the key is older than %v", w.Lifetime)
	}
	return nil
}

// Expires returns when a key may be forgotten.
func (w KeyWindow) ForgetAfter(issued time.Time) time.Time {
	return issued.Add(w.Lifetime + 2*w.MaxSkew)
}

// Vouches reports whether a router that started and joined the key's group at
// the given times remembers all that it yielded for the key.
func (w KeyWindow) Covers(issued, started, joined time.Time) bool {
	oldest := issued.Add(-2 * w.MaxSkew)
	return started.Before(oldest) && joined.Before(oldest.Add(-w.MaxListAge))
}
