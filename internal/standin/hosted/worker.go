package hosted

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Behavior is how a Worker handles a request.
type Behavior int

// Values of Behavior.
const (
	// Serve responds successfully, as the protocol specifies.
	Serve Behavior = iota
	// Refuse responds that the request was not executed.
	Refuse
	// Fail executes the request and responds with status 500.
	Fail
	// DropConnection executes the request and closes the connection without a response.
	DropConnection
	// Hang executes the request and never responds.
	Hang
	// Unsealed responds with a success without a seal.
	Unsealed
	// ForeignID responds with the ID of another request.
	ForeignID
	// Truncate closes the connection in the middle of the response.
	Truncate
	// ExtraResponse sends another response after the right one.
	ExtraResponse
	// AnnounceLeaving responds successfully and announces that the endpoint is about to stop.
	AnnounceLeaving
	// RefuseWithRetryAfter responds that the request was not executed, with a Retry-After
	// header.
	RefuseWithRetryAfter
	// Trickle executes a stream and sends single bytes that never complete an event.
	Trickle
	// RefuseEndlessly responds that the request was not executed, with a body without end.
	RefuseEndlessly
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
	crash atomic.Pointer[partCrash]
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

// SeenRequest is a request that the endpoint has received.
type SeenRequest struct {
	ID          string
	Method      string
	Target      string
	Workspace   string
	Body        string
	LastEventID string
	Header      http.Header
	Executed    bool
	// Behavior is how the endpoint handled the request.
	Behavior Behavior
	// ReceivedAt is when the request was received.
	ReceivedAt time.Time
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
	if crash := w.crash.Load(); crash != nil && crash.matches(r.Header.Get("Cardamompoint-Prompt-Prefix")) {
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

// sendExtraResponse sends a response that belongs to no request of the connection, and then
// continues to serve the connection.
func (w *Worker) sendExtraResponse(out http.ResponseWriter) {
	control := http.NewResponseController(out)
	if control.Flush() != nil {
		return
	}
	raw, buffer, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer raw.Close()
	if writeResponse(buffer.Writer, "ffff", "stray") != nil {
		return
	}
	for {
		request, err := http.ReadRequest(buffer.Reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Cardamompoint-Attempt-Id")
		w.record(id, request, string(body))
		if writeResponse(buffer.Writer, id, "answer to "+id) != nil {
			return
		}
	}
}

// writeResponse writes a complete sealed response.
func writeResponse(to *bufio.Writer, id, body string) error {
	fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return to.Flush()
}
