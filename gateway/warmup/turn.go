package warmup

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// turns are the times at which a VM may send a request to a cold endpoint.
type turns struct {
	// next is when the first turn came up that was neither used nor is known to have expired.
	next clock.Boot
}

// skipExpired drops the turns that have expired. period is the time between two turns.
func (t *turns) skipExpired(period time.Duration, now clock.Boot) {
	if late := now.Sub(t.next) - turnLifetime; late > 0 {
		t.next = t.next.Add((late/period + 1) * period)
	}
}

// wait returns how long it takes until a turn comes up, 0 if there is one.
func (t *turns) wait(period time.Duration, now clock.Boot) time.Duration {
	t.skipExpired(period, now)
	return max(0, t.next.Sub(now))
}

// use counts a request that is sent now.
func (t *turns) use(period time.Duration, now clock.Boot) {
	t.skipExpired(period, now)
	t.next = t.next.Add(period)
}
