package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/hold"
)

// runAtHome admits work to an engine that this router manages and relays its answer
// to sink.
func (r *Router) runAtHome(ctx context.Context, order workOrder, sink endpoint.Sink) error {
	if err := r.sleepGuard.Await(ctx.Done()); err != nil {
		return err
	}
	if err := r.crashedChats.check(order.crashedChat(), order.LastResort, time.Now()); err != nil {
		klog.Infof("place: request %s is not admitted to %s: %v.", order.Work.RequestID, order.Engine, err)
		return err
	}
	reservation, err := r.admitChatWork(order)
	if err != nil {
		klog.Infof("place: request %s is not admitted to %s: %v.", order.Work.RequestID, order.Engine, err)
		return err
	}
	klog.Infof("place: request %s is admitted to %s.", order.Work.RequestID, order.Engine)
	s := r.streams.Open(order.key(), reservation)
	sink = r.recordLength(order.Work, releaseTokens(reservation, sink))
	answered := false
	err = r.relay(ctx, s, len(order.Work.Prefix), onFirstToken(&answered, sink), func(ctx context.Context, sink endpoint.Sink) error {
		return r.generate(ctx, reservation, order, sink)
	})
	return r.recordCrash(order, answered, err)
}

// onFirstToken returns a sink that sets answered at the first token.
func onFirstToken(answered *bool, sink endpoint.Sink) endpoint.Sink {
	return func(line endpoint.Line) error {
		*answered = *answered || line.Text != ""
		return sink(line)
	}
}

// recordCrash records whether the engine crashed before it answered a chat. It returns err, or
// for a crash an error with code.CrashingPrompt.
func (r *Router) recordCrash(order workOrder, answered bool, err error) error {
	if answered {
		r.crashedChats.clear(order.crashedChat())
		return err
	}
	if !errors.Is(err, errEngineEnded) {
		return err
	}
	r.crashedChats.record(order.crashedChat(), time.Now())
	return crashingPrompt("the engine %s crashed before it answered", order.Engine).WithRun(code.RunPartial)
}

// resumeAtHome relays the rest of a stream to sink. A stream that this router does
// not account for yet is adopted; it can't be refused, since its engine already
// runs it.
func (r *Router) resumeAtHome(ctx context.Context, order resumeOrder, sink endpoint.Sink) error {
	key := keyOf(order.Stream)
	s := r.streams.Find(key.StreamID)
	if s == nil {
		s = r.streams.Open(key, r.adoptStream(order))
	}
	klog.Infof("place: stream %s at %s is resumed at token %d.", key.StreamID, key.Engine, order.Offset)
	if reservation := s.Reservation(); reservation != nil {
		sink = releaseTokens(reservation, sink)
	}
	return r.relay(ctx, s, order.Offset, sink, func(ctx context.Context, sink endpoint.Sink) error {
		return r.resumeAtEngine(ctx, key, order.Offset, sink)
	})
}

// adoptStream accounts for a stream that another router admitted.
func (r *Router) adoptStream(order resumeOrder) *balance.Reservation {
	id := order.Stream
	return r.loadTracker.Adopt(balance.Request{
		Engine:    id.Engine,
		Model:     id.Model,
		Workspace: id.Workspace,
		Tokens:    max(1, id.MaxTokens-order.Offset),
	}, time.Now())
}

// serveWork runs a peer's workOrder and answers with JSON lines.
func (r *Router) serveWork(w http.ResponseWriter, request *http.Request, order workOrder) {
	r.streamLines(w, request, order.key(), order.DeadlineMS, func(ctx context.Context, sink endpoint.Sink) error {
		if r.closing.Load() {
			return code.New(code.Draining, "the router %s is shutting down", r.settings.Name)
		}
		return r.runAtHome(ctx, order, sink)
	})
}

// serveResumeOrder runs a peer's resumeOrder and answers with JSON lines. A router
// that is shutting down continues the streams that it already accounts for.
func (r *Router) serveResumeOrder(w http.ResponseWriter, request *http.Request, order resumeOrder) {
	key := keyOf(order.Stream)
	r.streamLines(w, request, key, order.DeadlineMS, func(ctx context.Context, sink endpoint.Sink) error {
		if r.closing.Load() && r.streams.Find(key.StreamID) == nil {
			return code.New(code.Draining, "the router %s is shutting down", r.settings.Name)
		}
		return r.resumeAtHome(ctx, order, sink)
	})
}

// serveCancelOrder cancels a stream on behalf of a peer.
func (r *Router) serveCancelOrder(ctx context.Context, key hold.Key) (struct{}, error) {
	return struct{}{}, r.cancelAtHome(ctx, key)
}

// cancelAtHome cancels a stream at its engine and releases its reservation. If the
// engine does not answer, it returns the error and retries in the background.
func (r *Router) cancelAtHome(ctx context.Context, key hold.Key) error {
	if s := r.streams.Find(key.StreamID); s != nil {
		r.streams.End(s)
	}
	klog.Infof("place: stream %s at %s is canceled by its caller.", key.StreamID, key.Engine)
	err := r.engine.Cancel(ctx, key.Engine, key.StreamID)
	if err != nil {
		r.tasks.Go(func() { r.cancelStream(key) })
	}
	return err
}

// keepAliveDivisor divides the longest allowed silence to get the period of empty
// lines.
const keepAliveDivisor = 4

// streamLines answers a peer with the lines that run passes to its sink, and with
// empty lines while there are none.
func (r *Router) streamLines(w http.ResponseWriter, request *http.Request, key hold.Key, deadlineMS int64, run func(context.Context, endpoint.Sink) error) {
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(deadlineMS)*time.Millisecond)
	defer cancel()
	r.peerWork.Add(1)
	defer r.peerWork.Add(-1)
	lines := newLineWriter(w, milliseconds(r.settings.Timing.StallMS))
	defer lines.close()
	stop := lines.keepAlive(milliseconds(r.settings.Timing.ProgressMS) / keepAliveDivisor)
	err := run(ctx, lines.line)
	stop()
	if err != nil {
		lines.fail(key, err)
	}
}
