package router

import (
	"context"
	"errors"
	"syscall"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/hold"
)

// maxReconnects bounds the consecutive reconnects to an engine that bring no token.
const maxReconnects = 2

// errEngineEnded reports that an engine refuses connections after work was sent to it.
var errEngineEnded = errors.New("the engine has ended")

// relay relays a stream from its engine to sink and then settles the stream. first
// reads the lines from offset on; after a lost connection, the engine is asked to
// resume.
func (r *Router) relay(ctx context.Context, s *hold.Stream, offset int, sink endpoint.Sink, first func(context.Context, endpoint.Sink) error) error {
	reading, reader := r.streams.Attach(ctx, s)
	p := &relayProgress{next: offset, sink: sink}
	err := first(reading, p.handleLine)
	for tries := 0; tries < maxReconnects && p.mayReconnect(reading, err); tries++ {
		klog.Infof("place: stream %s at %s is requested again from token %d: %v.", s.StreamID, s.Engine, p.next, err)
		before := p.next
		err = r.resumeAtEngine(reading, s.Key, p.next, p.handleLine)
		if p.next > before {
			tries = -1
		}
	}
	return r.settleStream(ctx, s, reader, p, err)
}

// resumeAtEngine relays the rest of a stream that its engine may have started. An engine that
// refuses to continue it, or accepts no connection since it has ended, does not guarantee that
// it had not started the stream.
func (r *Router) resumeAtEngine(ctx context.Context, key hold.Key, offset int, sink endpoint.Sink) error {
	err := r.engine.Resume(ctx, key.Engine, key.RequestID, key.StreamID, offset, sink)
	if err == nil || !notAdmitted(err) {
		return err
	}
	klog.Infof("place: stream %s at %s is not continued: %v.", key.StreamID, key.Engine, err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return code.Wrap(errEngineEnded, code.EndpointFault, "the stream is not continued")
	}
	return code.New(code.EndpointFault, "the engine does not continue the stream: %v", err)
}

// settleStream decides what happens to a stream whose relay ended with err: it is
// removed, held for its reader to resume it, or canceled.
func (r *Router) settleStream(ctx context.Context, s *hold.Stream, reader int, p *relayProgress, err error) error {
	if err == nil {
		r.streams.End(s)
		return nil
	}
	if !r.streams.IsCurrent(s, reader) {
		return code.New(code.Canceled, "the stream was canceled or is read by another connection")
	}
	if p.sinkErr != nil || ctx.Err() == context.Canceled {
		r.streams.Detach(s, reader)
		return err
	}
	r.streams.End(s)
	if !notAdmitted(err) {
		r.tasks.Go(func() { r.cancelStream(s.Key) })
	}
	if code.Is(err, code.Canceled) {
		return code.New(code.EndpointFault, "the engine aborted the stream: %v", err)
	}
	return err
}

// relayProgress counts the tokens that a relay has passed on.
type relayProgress struct {
	sink endpoint.Sink
	// next is the offset of the next token.
	next int
	// sinkErr is the error of the sink, or nil.
	sinkErr error
}

// handleLine passes a line on to the sink.
func (p *relayProgress) handleLine(line endpoint.Line) error {
	if err := p.sink(line); err != nil {
		p.sinkErr = err
		return err
	}
	if line.Text != "" {
		p.next++
	}
	return nil
}

// mayReconnect reports whether the relay may reconnect to the engine after err.
func (p *relayProgress) mayReconnect(ctx context.Context, err error) bool {
	if p.sinkErr != nil || ctx.Err() != nil {
		return false
	}
	return endpoint.IsConnectionError(err) && !notAdmitted(err)
}
