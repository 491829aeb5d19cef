package router

import (
	"context"
	"net/http"
	"strconv"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/endpoint"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/stream"
)

// serveResume answers GET /v1/streams/{stream}?offset=N with the rest of an
// answer from the token at offset.
func (r *Router) serveResume(w http.ResponseWriter, request *http.Request) {
	id, err := stream.OpenID(r.settings.Secret, request.PathValue("stream"))
	if err != nil {
		r.answerError(w, err)
		return
	}
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		r.answerError(w, code.New(code.BadRequest, "the offset is not a count of tokens").At("offset"))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), milliseconds(r.settings.Timing.RequestMS))
	defer cancel()
	receiver := &streamReceiver{router: r, w: w, job: &job{work: endpoint.Work{
		RequestID: id.RequestID,
		Workspace: id.Workspace,
	}}}
	err = r.resume(ctx, id, offset, receiver)
	r.logResult(id.RequestID, err)
	if err == nil {
		r.metrics.Result(code.OK)
		return
	}
	receiver.fail(withRequestID(err, id.RequestID))
}

func (r *Router) resume(ctx context.Context, id stream.ID, offset int, receiver receiver) error {
	begun := false
	return r.engine.Resume(ctx, id.Engine, id.RequestID, id.StreamID, offset, func(line endpoint.Line) error {
		if !begun {
			begun = true
			if err := receiver.started(id.Engine, id.StreamID); err != nil {
				return err
			}
		}
		if line.Final != nil {
			final := *line.Final
			final.Engine = id.Engine
			return receiver.finished(final)
		}
		return receiver.token(line)
	})
}

// serveCancel answers DELETE /v1/streams/{stream}.
func (r *Router) serveCancel(w http.ResponseWriter, request *http.Request) {
	id, err := stream.OpenID(r.settings.Secret, request.PathValue("stream"))
	if err != nil {
		r.answerError(w, err)
		return
	}
	if err := r.engine.Cancel(request.Context(), id.Engine, id.StreamID); err != nil {
		r.answerError(w, err)
		return
	}
	jsonhttp.Write(w, struct{}{})
}
