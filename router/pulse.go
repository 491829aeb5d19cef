package router

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// pulsePeriod is how often a running process marks that it runs.
	pulsePeriod = 100 * time.Millisecond
	// freezeGap is the gap between marks that counts as a freeze.
	freezeGap = time.Second
)

// pulse notices that the process was frozen or its VM suspended. It is safe for
// concurrent use.
type pulse struct {
	marked atomic.Pointer[time.Time]
	woken  atomic.Pointer[time.Time]
}

func newPulse(now time.Time) *pulse {
	p := &pulse{}
	p.marked.Store(&now)
	p.woken.Store(&time.Time{})
	return p
}

// run marks until ctx ends.
func (p *pulse) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.check(time.Now())
		sleep(ctx, pulsePeriod)
	}
}

// check marks now and returns when the process last woke from a freeze; zero
// means never.
func (p *pulse) check(now time.Time) time.Time {
	last := p.marked.Swap(&now)
	gap := clock.Gap(*last, now)
	if gap <= freezeGap {
		return *p.woken.Load()
	}
	p.woken.Store(&now)
	klog.Warningf("place: the process was frozen for %v; it acts again once its list is confirmed.", gap)
	return now
}
