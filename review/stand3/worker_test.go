package stand3

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	id, worker string
	arrived    time.Time
}

// runs holds all runs.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(next run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, next)
}

// worker is a stand-in for a worker of a plain service.
type worker struct {
	record  *record
	runs    *runs
	id      string
	service string
	zone    string
	address string
	born    int64
	server  *http.Server
	running atomic.Int64
}

func newWorker(r *record, all *runs, id, service, zone, ip string) *worker {
	return &worker{record: r, runs: all, id: id, service: service, zone: zone, address: fmt.Sprintf("%s:%d", ip, workerPort), born: time.Now().UnixMilli()}
}

// entry is what the worker writes of itself to the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6,
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": w.born,
	}
}

func (w *worker) serve() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// exit ends the worker: its listener and its channels are closed.
func (w *worker) exit() {
	w.record.write(w.id, "exits", "running", w.running.Load())
	_ = w.server.Close()
}

func (w *worker) handle(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Cardamompoint-Attempt-Id")
	out.Header().Set("Cardamompoint-Attempt-Id", id)
	out.Header().Set("Cardamompoint-Instance-Id", w.id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Cardamompoint-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	w.runs.add(run{id: id, worker: w.id, arrived: time.Now()})
	w.record.write(w.id, "runs", "request", id, "bytes", len(body))
	// 30 ms of work as a mean, as on the page of Gelek Pin.
	work := time.NewTimer(time.Duration(15+rand.IntN(30)) * time.Millisecond)
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
		w.record.write(w.id, "dropped", "request", id)
		return
	}
	out.Header().Set("Cardamompoint-Response-Seal", "seal-"+w.id+"-"+id)
	out.Header().Set("Cardamompoint-Server-Load", fmt.Sprintf("%d,0,6", w.running.Load()))
	_, _ = io.WriteString(out, "done "+id)
}
