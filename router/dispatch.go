package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/member"
)

// dispatch runs order through the engine's home and relays the answer to sink.
func (r *Router) dispatch(ctx context.Context, home string, order workOrder, sink endpoint.Sink) error {
	if home == r.members.Self().Address {
		return r.runAtHome(ctx, order, sink)
	}
	return r.forwardToHome(ctx, home, workPath, order, order.key(), len(order.Work.Prefix), sink)
}

// dispatchResume lets the router that counts a stream relay the rest of it.
func (r *Router) dispatchResume(ctx context.Context, order resumeOrder, sink endpoint.Sink) error {
	home := order.Stream.Home
	if home == r.members.Self().Address {
		return r.resumeAtHome(ctx, order, sink)
	}
	return r.forwardToHome(ctx, home, resumePath, order, keyOf(order.Stream), order.Offset, sink)
}

// askHome sends order to another router and relays the lines of its answer from
// the token at offset on. The home sends empty lines while the engine is
// silent, so a ConnectionError means that the home is lost.
func (r *Router) forwardToHome(ctx context.Context, home, path string, order any, key streamKey, offset int, sink endpoint.Sink) error {
	request, err := r.work.NewRequest(ctx, home, path, order)
	if err != nil {
		return err
	}
	guard := endpoint.LineValidator{RequestID: key.RequestID, StreamID: key.StreamID, NextOffset: offset}
	lines := endpoint.LineReader{HTTP: r.work.HTTP(), SilenceTimeout: r.progressTimeout()}
	return lines.Read(request, &guard, sink)
}

// reachable reports whether another router was heard from lately.
func (r *Router) reachable(address string) bool {
	return r.members.Health(address, time.Now()) != member.HealthUnreachable
}

func (r *Router) progressTimeout() time.Duration {
	return milliseconds(r.settings.Timing.ProgressMS)
}
