package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/hold"
)

const takenPath = "/peer/v1/taken"

// takeOver tells a router that seemed lost that this router now accounts for its
// stream. It returns at once. A router that was frozen gets the message when it
// wakes up, before the stream's resume timeout has passed.
func (r *Router) takeOver(home string, key hold.Key) {
	if home == r.members.Self().Address {
		return
	}
	r.tasks.Go(func() { r.notifyTaken(home, key) })
}

// notifyTaken sends the message, with retries.
func (r *Router) notifyTaken(home string, key hold.Key) {
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
		klog.Infof("place: home %s can't be notified that stream %s was taken over: %v.", home, key.StreamID, err)
	}
}

// serveTaken removes a stream that another router accounts for now.
func (r *Router) serveTaken(_ context.Context, key hold.Key) (struct{}, error) {
	if s := r.streams.Find(key.StreamID); s != nil {
		klog.Infof("place: stream %s at %s was taken over by another router.", key.StreamID, key.Engine)
		r.streams.End(s)
	}
	return struct{}{}, nil
}
