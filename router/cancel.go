package router

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/hold"
	"cardamompoint.example/cardamompoint/stream"
)

const cancelPath = "/peer/v1/cancel"

// Retries of messages about a stream to an engine or a router that does not answer.
const (
	maxCancelAttempts = 3
	cancelRetryDelay  = time.Second
)

// serveCancel handles DELETE /v1/streams/{stream}.
func (r *Router) serveCancel(w http.ResponseWriter, request *http.Request) {
	id, err := stream.OpenID(r.settings.Secret, request.PathValue("stream"))
	if err != nil {
		r.writeError(w, err)
		return
	}
	if err := r.requestCancel(request.Context(), id.Home, keyOf(id)); err != nil {
		r.writeError(w, err)
		return
	}
	jsonhttp.Write(w, struct{}{})
}

// requestCancel cancels a stream through its home, or directly at the engine if the
// home can't be reached.
func (r *Router) requestCancel(ctx context.Context, home string, key hold.Key) error {
	if home == r.members.Self().Address || !r.reachable(home) {
		return r.cancelAtHome(ctx, key)
	}
	asked, cancel := context.WithTimeout(ctx, r.progressTimeout())
	defer cancel()
	err := r.work.Post(asked, home, cancelPath, key, nil)
	if err == nil {
		return nil
	}
	klog.Infof("place: home %s did not cancel stream %s: %v.", home, key.StreamID, err)
	return r.cancelAtHome(ctx, key)
}

// cancelStream cancels a stream whose answer nobody waits for. It retries, since a
// frozen engine may resume its work later.
func (r *Router) cancelStream(key hold.Key) {
	for attempt := range maxCancelAttempts {
		if attempt > 0 {
			time.Sleep(cancelRetryDelay)
		}
		err := r.engine.Cancel(context.Background(), key.Engine, key.StreamID)
		if err == nil {
			return
		}
		klog.Infof("place: stream %s at %s can't be canceled: %v.", key.StreamID, key.Engine, err)
	}
}
