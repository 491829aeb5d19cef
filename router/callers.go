package router

import (
	"net/http"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/peer"
)

// callersMux returns the handler of the callers' API.
func (r *Router) callersMux() http.Handler {
	mux := http.NewServeMux()
	work := func(pattern string, handler http.HandlerFunc) {
		mux.Handle(pattern, peer.DropAbandoned(handler))
	}
	work("POST /v1/chat/completions", r.serveCompletion)
	work("GET /v1/streams/{stream}", r.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{stream}", r.serveCancel)
	mux.HandleFunc("POST /v1/tickets", r.serveTicket)
	mux.HandleFunc("GET /v1/outcomes/{workspace}/{key}", r.serveOutcome)
	mux.HandleFunc("DELETE /v1/outcomes/{workspace}/{key}", r.serveRevoke)
	work("/v1/services/{workspace}/{path...}", r.serveService)
	mux.HandleFunc("/", func(w http.ResponseWriter, request *http.Request) {
		r.writeError(w, code.New(code.UnknownRoute, "no route for %s %s", request.Method, request.URL.Path))
	})
	return r.admitRequests(mux)
}

// admitRequests counts requests in progress. It rejects new ones while the router
// is shutting down or has no configuration yet.
func (r *Router) admitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.inProgress.Add(1)
		defer r.inProgress.Add(-1)
		if err := r.checkClosing(); err != nil {
			w.Header().Set("Connection", "close")
			jsonhttp.WriteError(w, withRunUnknown(request, err))
			return
		}
		if !r.synced.Load() {
			jsonhttp.WriteError(w, withRunUnknown(request, code.New(code.NotReady, "the router has no configuration yet").After(busyRetryAfter)))
			return
		}
		next.ServeHTTP(w, request)
	})
}
