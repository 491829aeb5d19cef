package balance

import "time"

// Lease is a home's record of its backup's promise not to act in its place.
// It is not safe for concurrent use.
type Lease struct {
	duration time.Duration
	margin   time.Duration

	backup string
	sent   time.Time
	since  time.Time
	until  time.Time
}

// NewLease returns a Lease that is not held. The home counts duration, less
// margin for the drift of two clocks, from when it sent a request.
func NewLease(duration, margin time.Duration) *Lease {
	return &Lease{duration: duration, margin: margin}
}

// Granted takes in the promise that backup made for a request that was sent
// and answered at the given times.
func (l *Lease) Renew(backup string, sent, answered time.Time) {
	if backup != l.backup || !answered.Before(l.until) {
		l.since = answered
	}
	l.backup = backup
	l.sent = sent
	until := sent.Add(l.duration - l.margin)
	if until.After(l.until) || l.since.Equal(answered) {
		l.until = until
	}
}

// Drop gives the lease up.
func (l *Lease) Drop() {
	l.until = time.Time{}
}

// DropBefore gives the lease up if its last request was sent before limit.
func (l *Lease) DropBefore(limit time.Time) {
	if l.sent.Before(limit) {
		l.Drop()
	}
}

// Held reports whether the lease is valid at now, and since when it has been
// without a gap.
func (l *Lease) Held(now time.Time) (since time.Time, held bool) {
	return l.since, now.Before(l.until)
}
