package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func (w *Worker) respond(out http.ResponseWriter, r *http.Request, id string, behavior Behavior) {
	switch behavior {
	case Refuse:
		out.Header().Set("Cardamompoint-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
	case RefuseWithRetryAfter:
		out.Header().Set("Cardamompoint-Not-Executed", "1")
		out.Header().Set("Retry-After", w.RetryAfter)
		out.WriteHeader(http.StatusServiceUnavailable)
	case RefuseEndlessly:
		out.Header().Set("Cardamompoint-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		for r.Context().Err() == nil {
			if _, err := out.Write(make([]byte, 1<<10)); err != nil {
				return
			}
		}
	case AnnounceLeaving:
		out.Header().Set("Server-Leaving", "1")
		w.serve(out, r, id, behavior)
	case Fail:
		w.seal(out)
		out.WriteHeader(http.StatusInternalServerError)
	case RefuseAfterRun:
		w.seal(out)
		out.WriteHeader(http.StatusServiceUnavailable)
	case InvalidStatus:
		respondWithInvalidStatus(out, id)
	case DropConnection:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		w.abandon(id)
	case Unsealed:
		fmt.Fprint(out, "not the worker's")
	case ForeignID:
		out.Header().Set("Cardamompoint-Attempt-Id", "0000000000000000")
		w.seal(out)
		fmt.Fprint(out, "another request's")
	default:
		w.serve(out, r, id, behavior)
	}
}

func (w *Worker) seal(out http.ResponseWriter) {
	out.Header().Set("Cardamompoint-Response-Seal", w.ID+".seal")
}

// serve responds with a success, complete or truncated, or crashes.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request, id string, behavior Behavior) {
	if crash := w.crash.Load(); crash != nil && crash.trigger(r) {
		crash.run()
		panic(http.ErrAbortHandler)
	}
	if !w.pause(r, id) {
		return
	}
	w.seal(out)
	if r.Header.Get("Cardamompoint-Model") != "" {
		w.stream(out, r, id, behavior)
		return
	}
	body := "answer to " + id
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if behavior == Truncate {
		fmt.Fprint(out, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(out, body)
	if behavior == ExtraResponse {
		w.sendExtraResponse(out)
	}
}

// pause waits for Delay. It returns false if the client closes the connection meanwhile.
func (w *Worker) pause(r *http.Request, id string) bool {
	if w.Delay <= 0 {
		return true
	}
	select {
	case <-time.After(w.Delay):
		return true
	case <-r.Context().Done():
		w.abandon(id)
		return false
	}
}
