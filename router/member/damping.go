package member

import "time"

const (
	// firstHoldBack is how long a peer stays unreachable after its second
	// return within the memory; it doubles with each further one.
	firstHoldBack = 2 * time.Second
	// maxHoldBack bounds it.
	maxHoldBack = time.Minute
	// flapMemory is how long a return counts.
	flapMemory = 10 * time.Minute
)

// damping holds a flapping peer back for longer with each return.
type damping struct {
	returns int
	last    time.Time
	until   time.Time
}

// returned records that an unreachable peer is back.
func (d *damping) returned(now time.Time) {
	if now.Sub(d.last) > flapMemory {
		d.returns = 0
	}
	d.returns++
	d.last = now
	if d.returns < 2 {
		return
	}
	hold := firstHoldBack
	for i := 2; i < d.returns && hold < maxHoldBack; i++ {
		hold *= 2
	}
	d.until = now.Add(min(hold, maxHoldBack))
}

func (d *damping) held(now time.Time) bool {
	return now.Before(d.until)
}
