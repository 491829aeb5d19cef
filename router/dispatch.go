package router

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/hold"
	"cardamompoint.example/cardamompoint/router/member"
)

// dispatch sends order to the engine's home and relays the answer to sink.
func (r *Router) dispatch(ctx context.Context, home string, order workOrder, sink endpoint.Sink) error {
	if home == r.members.Self().Address {
		return r.runAtHome(ctx, order, sink)
	}
	return r.forwardToHome(ctx, home, workPath, order, order.key(), len(order.Work.Prefix), sink)
}

// dispatchResume sends order to the router that accounts for the stream and relays
// the rest of the answer to sink.
func (r *Router) dispatchResume(ctx context.Context, order resumeOrder, sink endpoint.Sink) error {
	home := order.Stream.Home
	if home == r.members.Self().Address {
		return r.resumeAtHome(ctx, order, sink)
	}
	return r.forwardToHome(ctx, home, resumePath, order, keyOf(order.Stream), order.Offset, sink)
}

// forwardToHome sends order to another router and relays the lines of its answer,
// starting at token offset. Since the home sends empty lines while the engine is
// silent, a ConnectionError means that the home is lost.
func (r *Router) forwardToHome(ctx context.Context, home, path string, order any, key hold.Key, offset int, sink endpoint.Sink) error {
	request, err := r.work.NewRequest(ctx, home, path, order)
	if err != nil {
		return err
	}
	validator := endpoint.LineValidator{RequestID: key.RequestID, StreamID: key.StreamID, NextOffset: offset}
	lines := endpoint.LineReader{HTTP: r.work.HTTP(), SilenceTimeout: r.progressTimeout()}
	return lines.Read(request, &validator, sink)
}

// reachable reports whether the router at address is not known to be unreachable.
func (r *Router) reachable(address string) bool {
	return r.members.Health(address, time.Now()) != member.HealthUnreachable
}

// progressTimeout is the longest silence of a connection that makes progress.
func (r *Router) progressTimeout() time.Duration {
	return milliseconds(r.settings.Timing.ProgressMS)
}
