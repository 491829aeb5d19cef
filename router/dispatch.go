package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/endpoint"
)

// dispatch runs order through the engine's home and relays the answer to sink.
func (r *Router) dispatch(ctx context.Context, home string, order workOrder, sink endpoint.Sink) error {
	if home == r.members.Self().Address {
		return r.runAtHome(ctx, order, sink)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := r.work.NewRequest(ctx, home, workPath, order)
	if err != nil {
		return err
	}
	guard := endpoint.LineGuard{
		RequestID: order.Work.RequestID,
		StreamID:  order.Work.StreamID,
		Next:      len(order.Work.Prefix),
	}
	return endpoint.ReadLines(r.work.HTTP(), request, cancel, r.progress(), &guard, sink)
}

func (r *Router) progress() time.Duration {
	return milliseconds(r.settings.Timing.ProgressMS)
}
