package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker of a service. It is safe for concurrent use.
type worker struct {
	id      string
	service string
	zone    string
	address string
	// work handles a request that runs here, after run was recorded.
	work func(w http.ResponseWriter, r *http.Request)
	// onRun is called with each request that runs.
	onRun  func(worker *worker, r *http.Request, at time.Time)
	born   int64
	server *http.Server
}

// heartbeat is how often workers report, and three of it how long the entry of a silent one stays.
const heartbeat = 1200 * time.Millisecond

// entry returns the worker's entry in the store.
func (k *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": 64,
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": k.born,
	}
}

// key returns the key of the worker's entry.
func (k *worker) key() string {
	return "servers/" + k.id
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cardamompoint-Instance-Id", k.id)
	if r.URL.Path == "/-/kv-list" {
		writeJSON(w, map[string]any{"epoch": 1, "next": 1, "held": []any{}})
		return
	}
	if id := r.Header.Get("Cardamompoint-Attempt-Id"); id != "" {
		w.Header().Set("Cardamompoint-Attempt-Id", id)
	}
	w.Header().Set("Cardamompoint-Server-Load", "1,0,64")
	if expected := r.Header.Get("Cardamompoint-Expect-Instance"); expected != "" && expected != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if k.onRun != nil {
		k.onRun(k, r, time.Now())
	}
	w.Header().Set("Cardamompoint-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	k.work(w, r)
}

// crash ends the worker: it accepts no more connections and resets those that are open.
func (k *worker) crash() {
	_ = k.server.Close() // It may be closed already.
}

// answer is the work of a plain service: a body of 800 bytes after a time.
func answer(after time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		if !pause(r.Context(), after) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", "800")
		_, _ = w.Write(make([]byte, 800)) // The gateway may have gone.
	}
}

// stream is the work of a model worker: events at even times.
func stream(first, gap time.Duration, events int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		wait := first
		for number := 1; number <= events; number++ {
			if !pause(r.Context(), wait) {
				panic(http.ErrAbortHandler)
			}
			wait = gap
			fmt.Fprintf(w, "id: %d\ndata: tokens %d\n\n", number, number)
			_ = http.NewResponseController(w).Flush() // The next write fails too.
		}
	}
}

// pause waits, and returns false if the caller leaves meanwhile.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runs holds when requests ran, by the request or by the worker. It is safe for concurrent use.
type runs struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func newRuns() *runs {
	return &runs{times: map[string][]time.Time{}}
}

func (r *runs) add(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[id] = append(r.times[id], at)
}

// addAt adds a run of a worker.
func (r *runs) addAt(k *worker, _ *http.Request, at time.Time) {
	r.add(k.id, at)
}

// at returns the times of the runs under a key.
func (r *runs) at(key string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times[key]
}

func (r *runs) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.times[id])
}

// serve serves a handler at an address until the server is closed.
func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // It returns when the server is closed.
	return server, nil
}
