package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const takenPath = "/peer/v1/taken"

// takeOver tells a router that was lost on the way that its stream is counted
// and read elsewhere. It returns at once. A router that was frozen learns it
// when it wakes up, before the stream's resume time has passed.
func (r *Router) takeOver(home string, key streamKey) {
	if home == r.members.Self().Address {
		return
	}
	r.tasks.Go(func() { r.notifyTaken(home, key) })
}

func (r *Router) notifyTaken(home string, key streamKey) {
	for attempt := range maxCancelAttempts {
		if attempt > 0 {
			time.Sleep(cancelRetryDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), r.progressTimeout())
		err := r.work.Post(ctx, home, takenPath, key, nil)
		cancel()
		if err == nil {
			return
		}
		klog.Infof("place: home %s can't be told that stream %s is read elsewhere: %v.", home, key.StreamID, err)
	}
}

// serveTaken forgets a stream that another router counts now.
func (r *Router) serveTaken(_ context.Context, key streamKey) (struct{}, error) {
	if s := r.streams.find(key.StreamID); s != nil {
		klog.Infof("place: stream %s at %s is counted elsewhere.", key.StreamID, key.Engine)
		r.streams.end(s)
	}
	return struct{}{}, nil
}
