package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/member"
)

// askRouter sends in to the router at address and returns its answer. This
// router asks itself through serve.
func callRouter[In, Out any](ctx context.Context, r *Router, address, path string, in In, serve func(context.Context, In) (Out, error)) (Out, error) {
	if address == r.members.Self().Address {
		return serve(ctx, in)
	}
	var out Out
	err := r.work.Post(ctx, address, path, in, &out)
	return out, err
}

// whileReachable returns a context that ends when the router at address has
// become unreachable, so that nobody waits for a paused process.
func (r *Router) whileReachable(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if address != r.members.Self().Address {
		go r.watchReachable(ctx, cancel, address)
	}
	return ctx, cancel
}

func (r *Router) watchReachable(ctx context.Context, cancel context.CancelFunc, address string) {
	ticker := time.NewTicker(milliseconds(r.settings.Timing.HeartbeatMS))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if r.members.Health(address, now) == member.HealthUnreachable {
				cancel()
				return
			}
		}
	}
}

// A router that asks another keeps a part of the time left for itself, so that it
// hears why there is no answer yet.
const (
	// answerShare is that part, one in so many.
	replyReserveDivisor = 10
	// answerLeast is the least part, unless it were more than half.
	minReplyReserve = 250 * time.Millisecond
)

// answerWithinMS returns how long a router that is asked may take, in
// milliseconds.
func replyDeadlineMS(ctx context.Context) int64 {
	left := timeLeft(ctx)
	kept := min(max(left/replyReserveDivisor, minReplyReserve), left/2)
	return (left - kept).Milliseconds()
}

// cutOff reports whether a router failed on the way rather than answered, so
// that it may or may not have got the message.
func deliveryUncertain(err error) bool {
	switch code.Of(err).Code {
	case code.PeerUnreachable, code.EndpointFault, code.DeadlineExceeded, code.Canceled, code.PeerRejected:
		return true
	}
	return false
}
