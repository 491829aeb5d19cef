package router

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// freezeCheckPeriod is how often a running process marks that it runs.
	freezeCheckPeriod = 100 * time.Millisecond
	// freezeGap is the gap between marks that counts as a freeze.
	minFreezeGap = time.Second
)

// freezeDetector notices that the process was frozen or its VM suspended. It is safe for
// concurrent use.
type freezeDetector struct {
	lastMark atomic.Pointer[time.Time]
	wokenAt  atomic.Pointer[time.Time]
}

func newFreezeDetector(now time.Time) *freezeDetector {
	d := &freezeDetector{}
	d.lastMark.Store(&now)
	d.wokenAt.Store(&time.Time{})
	return d
}

// run marks until ctx ends.
func (d *freezeDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.check(time.Now())
		clock.Sleep(ctx, freezeCheckPeriod)
	}
}

// check marks now and returns when the process last woke from a freeze; zero
// means never.
func (d *freezeDetector) check(now time.Time) time.Time {
	last := d.lastMark.Swap(&now)
	gap := clock.Gap(*last, now)
	if gap <= minFreezeGap {
		return *d.wokenAt.Load()
	}
	d.wokenAt.Store(&now)
	klog.Warningf("place: the process was frozen for %v; it acts again once its list is confirmed.", gap)
	return now
}
