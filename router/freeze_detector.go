package router

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// freezeCheckPeriod is the time between two marks of a running process.
	freezeCheckPeriod = 100 * time.Millisecond
	// minFreezeGap is the gap between marks above which the process counts as
	// frozen.
	minFreezeGap = time.Second
)

// freezeDetector detects that the process was frozen or its VM suspended, by gaps
// between its own periodic marks. After a freeze, the router has no lease and does
// not act for engines until its list is confirmed; see Router.assignment. It is
// safe for concurrent use.
type freezeDetector struct {
	// lastMark is the time of the last mark.
	lastMark atomic.Pointer[time.Time]
	// wokenAt is when the process last woke from a freeze; the zero time if it
	// never froze.
	wokenAt atomic.Pointer[time.Time]
}

// newFreezeDetector returns a detector whose first mark is at now.
func newFreezeDetector(now time.Time) *freezeDetector {
	d := &freezeDetector{}
	d.lastMark.Store(&now)
	d.wokenAt.Store(&time.Time{})
	return d
}

// run sets marks until ctx ends.
func (d *freezeDetector) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.check(time.Now())
		clock.Sleep(ctx, freezeCheckPeriod)
	}
}

// check sets a mark at now and returns when the process last woke from a freeze;
// the zero time if it never froze.
func (d *freezeDetector) check(now time.Time) time.Time {
	last := d.lastMark.Swap(&now)
	gap := clock.Gap(*last, now)
	if gap <= minFreezeGap {
		return *d.wokenAt.Load()
	}
	d.wokenAt.Store(&now)
	klog.Warningf("place: the process was frozen for %v; it admits work again once its list is confirmed.", gap)
	return now
}
