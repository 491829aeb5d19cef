package member

import "time"

const (
	// initialHoldDown is how long a peer stays unreachable after its second return
	// within flapWindow; it doubles with each further return.
	initialHoldDown = 2 * time.Second
	// maxHoldDown bounds the hold-down time.
	maxHoldDown = time.Minute
	// flapWindow is the time since a peer's last return within which a further
	// return counts as flapping.
	flapWindow = 10 * time.Minute
)

// flapDamping holds a flapping peer down: from its second return within flapWindow
// on, it stays unreachable for a time that doubles with each return.
type flapDamping struct {
	returns    int
	lastReturn time.Time
	heldUntil  time.Time
}

// recordReturn records that an unreachable peer is reachable again at now and
// extends the hold-down time.
func (d *flapDamping) recordReturn(now time.Time) {
	if now.Sub(d.lastReturn) > flapWindow {
		d.returns = 0
	}
	d.returns++
	d.lastReturn = now
	if d.returns < 2 {
		return
	}
	hold := initialHoldDown
	for i := 2; i < d.returns && hold < maxHoldDown; i++ {
		hold *= 2
	}
	d.heldUntil = now.Add(min(hold, maxHoldDown))
}

// held reports whether the peer is held down at now.
func (d *flapDamping) held(now time.Time) bool {
	return now.Before(d.heldUntil)
}
