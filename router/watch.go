package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	watchWait   = 10 * time.Second
	watchPause  = 500 * time.Millisecond
	listMinimum = 200 * time.Millisecond
)

// watchConfig reads configuration changes until ctx ends.
func (r *Router) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		after := r.store.Snapshot().Revision
		wait := watchWait
		if !r.learned.Load() {
			wait = 0
		}
		changes, err := r.config.Changes(ctx, after, wait)
		if err != nil {
			klog.Warningf("config: the platform can't be read: %v.", err)
			sleep(ctx, watchPause)
			continue
		}
		if changes.Revision < after {
			klog.Warningf("config: the platform shows revision %d, older than %d.", changes.Revision, after)
			sleep(ctx, watchPause)
			continue
		}
		r.store.Apply(changes.Values, changes.Revision)
		r.noteLearned()
	}
}

// watchList reads the list of VMs until ctx ends.
func (r *Router) watchList(ctx context.Context) {
	pause := max(milliseconds(r.settings.Timing.HeartbeatMS), listMinimum)
	for ctx.Err() == nil {
		readAt := time.Now()
		list, err := r.lister.List(ctx)
		if err != nil {
			klog.Warningf("member: the list of VMs can't be read: %v.", err)
		} else {
			r.members.SetList(list, readAt)
			r.noteLearned()
		}
		sleep(ctx, pause)
	}
}

// noteLearned makes the router ready once it knows both the list of VMs and
// the configuration.
func (r *Router) noteLearned() {
	if r.learned.Load() || r.members.View().List.Version == 0 || r.store.Snapshot().Revision == 0 {
		return
	}
	if !r.learned.Swap(true) {
		klog.Infof("config: the router is ready with revision %d.", r.store.Snapshot().Revision)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
