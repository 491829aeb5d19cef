package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// deliveryMargin is the time reserved between a request's deadline and the end of the drain time,
// for the delivery of the answer.
const deliveryMargin = 100 * time.Millisecond

// beginClosing ends the linger time of a shutdown and returns when requests in progress are
// interrupted.
func (r *Router) beginClosing() time.Time {
	end := time.Now().Add(milliseconds(r.settings.Timing.DrainMS))
	r.drainEnd.Store(&end)
	r.closing.Store(true)
	return end
}

// checkClosing refuses a request that begins after the linger time of a shutdown. It must be called
// again after the body was read, which takes as long as the caller likes.
func (r *Router) checkClosing() error {
	if !r.closing.Load() {
		return nil
	}
	return code.New(code.Draining, "the router is shutting down").After(busyRetryAfter)
}

// checkLateStart refuses to send work to an endpoint after the linger time of a shutdown, unless the
// deadline of ctx shows that it ends before it would be interrupted.
func (r *Router) checkLateStart(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	end := r.drainEnd.Load()
	if bounded && end != nil && !deadline.Add(deliveryMargin).After(*end) {
		return nil
	}
	return r.checkClosing()
}
