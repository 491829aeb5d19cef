package balance

import "time"

// Lease is a home's record of the lease that its backup granted to it: while it
// is valid, the backup admits no work in the home's place. It is not safe for
// concurrent use.
type Lease struct {
	duration time.Duration
	margin   time.Duration

	backup     string
	lastSentAt time.Time
	heldSince  time.Time
	expiresAt  time.Time
}

// NewLease returns a Lease that is not held. To the home, a lease is valid for
// duration, less margin for the drift of the two routers' clocks, from when it
// sent the request.
func NewLease(duration, margin time.Duration) *Lease {
	return &Lease{duration: duration, margin: margin}
}

// Renew records that backup granted the lease for a request that was sent and
// answered at the given times.
func (l *Lease) Renew(backup string, sent, answered time.Time) {
	if backup != l.backup || !answered.Before(l.expiresAt) {
		l.heldSince = answered
	}
	l.backup = backup
	l.lastSentAt = sent
	until := sent.Add(l.duration - l.margin)
	if until.After(l.expiresAt) || l.heldSince.Equal(answered) {
		l.expiresAt = until
	}
}

// Drop gives up the lease.
func (l *Lease) Drop() {
	l.expiresAt = time.Time{}
}

// DropBefore gives up the lease if its last request was sent before limit.
func (l *Lease) DropBefore(limit time.Time) {
	if l.lastSentAt.Before(limit) {
		l.Drop()
	}
}

// Held reports whether the lease is valid at now, and since when it has been
// held without a gap.
func (l *Lease) Held(now time.Time) (since time.Time, held bool) {
	return l.heldSince, now.Before(l.expiresAt)
}
