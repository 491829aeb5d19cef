package limit

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// burstTime is how long an unused rate is saved, beyond one request.
const burstTime = 200 * time.Millisecond

// bucket admits requests at a rate. Its tokens may become negative: requests that were chosen at
// the same time are all sent, and later ones wait for longer.
type bucket struct {
	tokens float64
	at     clock.Boot
}

// refill adds the tokens for the time since the last call.
func (b *bucket) refill(perSecond float64, now clock.Boot) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+perSecond*elapsed.Seconds(), 1+perSecond*burstTime.Seconds())
		b.at = now
	}
}

// wait returns how long it takes until the bucket holds a token.
func (b *bucket) wait(perSecond float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}
