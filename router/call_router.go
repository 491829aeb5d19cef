package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/member"
)

// callRouter posts in to path at the router with the given address and returns its
// answer. A call to this router itself goes directly to serve.
func callRouter[In, Out any](ctx context.Context, r *Router, address, path string, in In, serve func(context.Context, In) (Out, error)) (Out, error) {
	if address == r.members.Self().Address {
		return serve(ctx, in)
	}
	var out Out
	err := r.work.Post(ctx, address, path, in, &out)
	return out, err
}

// whileReachable returns a context that is canceled when the router at address
// becomes unreachable, so that a caller does not wait for a paused process until
// its deadline.
func (r *Router) whileReachable(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if address != r.members.Self().Address {
		go r.watchReachable(ctx, cancel, address)
	}
	return ctx, cancel
}

// watchReachable checks the health of the router at address once per heartbeat
// period and calls cancel when it is unreachable.
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

// A router that calls another keeps part of the remaining time for itself, so that
// the callee's error arrives before the deadline.
const (
	// replyReserveDivisor is the divisor of the remaining time for that part.
	replyReserveDivisor = 10
	// minReplyReserve is the minimum for that part, unless it exceeds half of the
	// remaining time.
	minReplyReserve = 250 * time.Millisecond
)

// replyDeadlineMS returns how long the called router may take, in milliseconds.
func replyDeadlineMS(ctx context.Context) int64 {
	left := timeLeft(ctx)
	kept := min(max(left/replyReserveDivisor, minReplyReserve), left/2)
	return (left - kept).Milliseconds()
}

// deliveryUncertain reports whether err is a transport failure rather than an
// answer of the called router, so that the message may or may not have arrived.
func deliveryUncertain(err error) bool {
	switch code.Of(err).Code {
	case code.PeerUnreachable, code.EndpointFault, code.DeadlineExceeded, code.Canceled, code.PeerRejected:
		return true
	}
	return false
}
