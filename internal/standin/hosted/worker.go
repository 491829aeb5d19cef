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

// Behavior is what a Worker does with one request.
type Behavior int

// The behaviours of a Worker.
const (
	// Serve answers as the protocol tells.
	Serve Behavior = iota
	// Refuse answers that the request was not run.
	Refuse
	// Fail runs the request and answers with status 500.
	Fail
	// DropConnection runs the request and closes the connection without an answer.
	DropConnection
	// Hang runs the request and does not answer.
	Hang
	// Unsealed answers a success that is not sealed.
	Unsealed
	// ForeignID answers with the id of another request.
	ForeignID
	// Truncate breaks the answer off in its middle.
	Truncate
	// ExtraResponse sends a further answer behind the right one.
	ExtraResponse
	// AnnounceLeaving serves and says that the worker is about to stop.
	AnnounceLeaving
	// RefuseWithRetryAfter answers that the request was not run, and when the worker wants the next one.
	RefuseWithRetryAfter
	// Trickle runs a stream and sends a byte now and then that never makes an event.
	Trickle
	// RefuseEndlessly answers that the request was not run, in a body without end.
	RefuseEndlessly
)

// Worker stands in for a worker of the platform, an engine or a plain service.
// It is safe for concurrent use.
type Worker struct {
	// ID is the instance.
	ID string
	// Events is the number of events of a stream, Pause the time between them.
	Events        int
	EventInterval time.Duration
	// RetryAfter is what Rest tells, in seconds.
	RetryAfter string
	// Header is added to each answer.
	Header http.Header

	mu        sync.Mutex
	next      []Behavior
	fallback  Behavior
	runs      map[string]int
	seen      []SeenRequest
	abandoned map[string]bool
	// parts are the prompt parts that runs brought.
	parts map[string]int
	// active is the number of requests in progress.
	active atomic.Int64
}

// SeenRequest is a request as it reached the worker.
type SeenRequest struct {
	ID          string
	Method      string
	Target      string
	Workspace   string
	Body        string
	LastEventID string
	Header      http.Header
	Executed    bool
	// Behavior is what the worker did with it.
	Behavior Behavior
	// ReceivedAt is when it came.
	ReceivedAt time.Time
}

// NewWorker returns a Worker that serves.
func NewWorker(id string) *Worker {
	return &Worker{ID: id, Events: 5, EventInterval: 5 * time.Millisecond, runs: map[string]int{}, abandoned: map[string]bool{}, parts: map[string]int{}}
}

// Active returns the number of requests in progress.
func (w *Worker) Active() int {
	return int(w.active.Load())
}

// SetNext sets what is done with the next requests, in order.
func (w *Worker) SetNext(behaviors ...Behavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = behaviors
}

// SetDefault sets what is done with requests that no plan covers.
func (w *Worker) SetDefault(behaviour Behavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fallback = behaviour
}

// Runs returns how often a request was run.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// SeenRequest returns the requests so far.
func (w *Worker) Seen() []SeenRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]SeenRequest(nil), w.seen...)
}

// Abandoned reports whether the caller closed the connection of a run.
func (w *Worker) Abandoned(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abandoned[id]
}

// ServeHTTP answers one request.
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
	behaviour := w.record(id, r, string(body))
	maps.Copy(out.Header(), w.Header)
	out.Header().Set("Cardamompoint-Attempt-Id", id)
	out.Header().Set("Cardamompoint-Server-Load", "1,0,8")
	if expected := r.Header.Get("Cardamompoint-Expect-Instance"); expected != "" && expected != w.ID {
		out.Header().Set("Cardamompoint-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.respond(out, r, id, behaviour)
}

// record records a request and returns what to do with it.
func (w *Worker) record(id string, r *http.Request, body string) Behavior {
	w.mu.Lock()
	defer w.mu.Unlock()
	behaviour := w.fallback
	if len(w.next) > 0 {
		behaviour, w.next = w.next[0], w.next[1:]
	}
	expected := r.Header.Get("Cardamompoint-Expect-Instance")
	refused := behaviour == Refuse || behaviour == RefuseWithRetryAfter || behaviour == RefuseEndlessly
	run := !refused && (expected == "" || expected == w.ID)
	if run {
		w.runs[id]++
		w.recordParts(r.Header.Get("Cardamompoint-Prompt-Prefix"))
	}
	w.seen = append(w.seen, SeenRequest{
		ID: id, Method: r.Method, Target: r.RequestURI, Workspace: r.Header.Get("Cardamompoint-Tenant"),
		Body: body, LastEventID: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone(), Executed: run, Behavior: behaviour, ReceivedAt: time.Now(),
	})
	return behaviour
}

func (w *Worker) respond(out http.ResponseWriter, r *http.Request, id string, behaviour Behavior) {
	switch behaviour {
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
		w.serve(out, r, id, behaviour)
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
		w.serve(out, r, id, behaviour)
	}
}

func (w *Worker) seal(out http.ResponseWriter) {
	out.Header().Set("Cardamompoint-Response-Seal", w.ID+".seal")
}

// serve answers a success, whole or cut.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request, id string, behaviour Behavior) {
	w.seal(out)
	if r.Header.Get("Cardamompoint-Model") != "" {
		w.stream(out, r, id, behaviour)
		return
	}
	body := "answer to " + id
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if behaviour == Truncate {
		fmt.Fprint(out, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(out, body)
	if behaviour == ExtraResponse {
		w.sendExtraResponse(out)
	}
}

// sendExtraResponse sends an answer that belongs to no request of the connection, and
// goes on serving the connection.
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

// writeResponse writes a whole sealed answer.
func writeResponse(to *bufio.Writer, id, body string) error {
	fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return to.Flush()
}
