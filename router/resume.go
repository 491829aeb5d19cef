package router

import (
	"context"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/stream"
)

// serveResume handles GET /v1/streams/{stream}?offset=N: it answers with the rest
// of a stream from the token at offset N on.
func (r *Router) serveResume(w http.ResponseWriter, request *http.Request) {
	id, err := stream.OpenID(r.settings.Secret, request.PathValue("stream"))
	if err != nil {
		r.writeError(w, err)
		return
	}
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		r.writeError(w, code.New(code.BadRequest, "the offset is not a non-negative integer").At("offset"))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), milliseconds(r.settings.Timing.RequestMS))
	defer cancel()
	work := endpoint.Work{RequestID: id.RequestID, Workspace: id.Workspace, Model: id.Model, MaxTokens: id.MaxTokens}
	receiver := &streamReceiver{router: r, w: w, job: &job{work: work}}
	err = r.resume(ctx, id, offset, receiver)
	r.logResult(id.RequestID, err)
	if err == nil {
		r.metrics.CountResult(code.OK)
		return
	}
	receiver.fail(withRequestID(err, id.RequestID))
}

// resume relays the rest of a stream, through the router that accounts for it or,
// if that one is lost, directly.
func (r *Router) resume(ctx context.Context, id stream.ID, offset int, receiver receiver) error {
	reader := &resumedReader{id: id, next: offset, receiver: receiver}
	err := r.resumeAtHomeOrHere(ctx, reader)
	if err == nil {
		return nil
	}
	if ctx.Err() == context.Canceled || reader.receiverErr != nil {
		return code.New(code.Canceled, "the caller disconnected")
	}
	if ctx.Err() != nil {
		return code.New(code.DeadlineExceeded, "the deadline has passed").After(busyRetryAfter)
	}
	if code.Is(err, code.Canceled) {
		return err
	}
	return code.New(code.StreamLost, "the engine %s does not continue the stream: %v", id.Engine, err)
}

// resumeAtHomeOrHere resumes the stream at its home. If the home is lost or
// shutting down, this router takes the stream over.
func (r *Router) resumeAtHomeOrHere(ctx context.Context, reader *resumedReader) error {
	if r.reachable(reader.id.Home) {
		err := r.dispatchResume(ctx, reader.order(ctx), reader.handleLine)
		if !r.homeGone(ctx, err) {
			return err
		}
		klog.Infof("route: stream %s continues without home %s: %v.", reader.id.StreamID, reader.id.Home, err)
	}
	r.takeOver(reader.id.Home, keyOf(reader.id))
	reader.id.Home = r.members.Self().Address
	return r.resumeAtHome(ctx, reader.order(ctx), reader.handleLine)
}

// homeGone reports whether err means that the router which accounts for a stream
// was lost or is shutting down.
func (r *Router) homeGone(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (endpoint.IsConnectionError(err) || code.Is(err, code.Draining))
}
