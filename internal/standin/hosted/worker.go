package hosted

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a stand-in for an endpoint, either an engine or a plain service. It is safe for
// concurrent use.
type Worker struct {
	// ID is the instance ID of the endpoint.
	ID string
	// Events is the number of events of a stream, EventInterval the time between them.
	Events        int
	EventInterval time.Duration
	// Delay is the time before a successful response.
	Delay time.Duration
	// RetryAfter is the Retry-After value of RefuseWithRetryAfter, in seconds.
	RetryAfter string
	// Header is added to each response.
	Header http.Header
	// crash is the crash that a prompt part causes, nil for none.
	crash atomic.Pointer[crash]
	// limit is the Server-Limit that the endpoint names, nil for none.
	limit atomic.Pointer[string]

	mu              sync.Mutex
	nextBehaviors   []Behavior
	defaultBehavior Behavior
	runs            map[string]int
	seen            []SeenRequest
	abandoned       map[string]bool
	// parts holds the sizes in tokens of the prompt parts of executed requests, by ID.
	parts map[string]int
	// active is the number of requests in progress.
	active atomic.Int64
}

// NewWorker returns a Worker that serves all requests.
func NewWorker(id string) *Worker {
	return &Worker{ID: id, Events: 5, EventInterval: 5 * time.Millisecond, runs: map[string]int{}, abandoned: map[string]bool{}, parts: map[string]int{}}
}

// Active returns the number of requests in progress.
func (w *Worker) Active() int {
	return int(w.active.Load())
}

// SetLimit makes the endpoint name a limit on the requests per second of all VMs, "" for none.
func (w *Worker) SetLimit(perSecond string) {
	w.limit.Store(&perSecond)
}

// SetNext sets the behaviors for the next requests, in order.
func (w *Worker) SetNext(behaviors ...Behavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextBehaviors = behaviors
}

// SetDefault sets the behavior for requests after those of SetNext.
func (w *Worker) SetDefault(behavior Behavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.defaultBehavior = behavior
}

// Runs returns how often a request was executed.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Seen returns the requests received so far.
func (w *Worker) Seen() []SeenRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]SeenRequest(nil), w.seen...)
}

// Abandoned reports whether the client closed the connection while the request was executed.
func (w *Worker) Abandoned(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abandoned[id]
}

// ServeHTTP handles a request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == cachedPartsPath {
		w.serveCachedParts(out)
		return
	}
	w.active.Add(1)
	defer w.active.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Cardamompoint-Attempt-Id")
	behavior := w.record(id, r, string(body))
	maps.Copy(out.Header(), w.Header)
	out.Header().Set("Cardamompoint-Attempt-Id", id)
	out.Header().Set("Cardamompoint-Server-Load", "1,0,8")
	if limit := w.limit.Load(); limit != nil && *limit != "" {
		out.Header().Set("Server-Limit", *limit)
	}
	if expected := r.Header.Get("Cardamompoint-Expect-Instance"); expected != "" && expected != w.ID {
		out.Header().Set("Cardamompoint-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.respond(out, r, id, behavior)
}

// record records a request and returns the behavior for it.
func (w *Worker) record(id string, r *http.Request, body string) Behavior {
	w.mu.Lock()
	defer w.mu.Unlock()
	behavior := w.defaultBehavior
	if len(w.nextBehaviors) > 0 {
		behavior, w.nextBehaviors = w.nextBehaviors[0], w.nextBehaviors[1:]
	}
	expected := r.Header.Get("Cardamompoint-Expect-Instance")
	refused := behavior == Refuse || behavior == RefuseWithRetryAfter || behavior == RefuseEndlessly
	run := !refused && (expected == "" || expected == w.ID)
	if run {
		w.runs[id]++
		w.recordParts(r.Header.Get("Cardamompoint-Prompt-Prefix"))
	}
	w.seen = append(w.seen, SeenRequest{
		ID: id, Method: r.Method, Target: r.RequestURI, Workspace: r.Header.Get("Cardamompoint-Tenant"),
		Body: body, LastEventID: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(), Executed: run, Behavior: behavior, ReceivedAt: time.Now(),
	})
	return behavior
}
