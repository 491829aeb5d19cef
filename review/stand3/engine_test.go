package stand3

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pieces is the number of events of each stream.
const pieces = 30

// engine is a stand-in for a model worker. It sends the head of an answer in two writes: the lines that it knows when it
// has accepted the request, and the others with the first event.
type engine struct {
	record   *record
	id, zone string
	address  string
	listener net.Listener
	// slowness is how many times as long its work takes as usual.
	slowness atomic.Int64

	mu   sync.Mutex
	open map[net.Conn]bool
	// runs has the workers that ran each request.
	runs *engineRuns
}

// engineRun is one run of a request at an engine.
type engineRun struct {
	engine string
	// began is when the first event was sent, ended when the engine stopped work; zero if that was not.
	began, ended time.Time
}

// engineRuns has the runs of each request, in the order in which the engines got it.
type engineRuns struct {
	mu   sync.Mutex
	byID map[string][]*engineRun
}

func (r *engineRuns) add(id, engine string) *engineRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &engineRun{engine: engine}
	r.byID[id] = append(r.byID[id], next)
	return next
}

// mark sets a time of a run to now.
func (r *engineRuns) mark(at *time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*at = time.Now()
}

// work returns how long some work takes at present.
func (e *engine) work(usual time.Duration) time.Duration {
	return usual * time.Duration(e.slowness.Load())
}

func (e *engine) entry() map[string]any {
	return map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
		"sequence": 1, "born": time.Now().UnixMilli(), "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

// serve listens, and answers on each channel until it ends.
func (e *engine) serve(answers func(*engine, net.Conn)) error {
	var err error
	if e.listener, err = net.Listen("tcp", e.address); err != nil {
		return err
	}
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.open[conn] = true
			e.mu.Unlock()
			go func() {
				defer e.drop(conn)
				answers(e, conn)
			}()
		}
	}()
	return nil
}

func (e *engine) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.open {
		_ = conn.Close()
	}
}

// drop closes a channel.
func (e *engine) drop(conn net.Conn) {
	e.mu.Lock()
	delete(e.open, conn)
	e.mu.Unlock()
	_ = conn.Close()
}

// stream answers with streams on a channel until it ends.
func (e *engine) stream(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !e.answer(conn, reader, request) {
			return
		}
	}
}

// answer answers one request. It returns false when the channel has ended.
func (e *engine) answer(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get("Cardamompoint-Attempt-Id")
	if strings.HasPrefix(request.URL.Path, "/-/") {
		body := `{"epoch":1,"next":1,"held":[]}`
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	if request.Header.Get("Cardamompoint-Expect-Instance") != e.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nCardamompoint-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	run := e.runs.add(id, e.id)
	defer func() {
		if run.ended.IsZero() {
			e.runs.mark(&run.ended)
		}
	}()
	e.record.write(e.id, "runs", "request", id, "after", after)
	gone := make(chan struct{})
	go func() {
		_, _ = reader.Peek(1) // A channel that ends, or the next request.
		close(gone)
	}()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: seal-%s\r\n", id, e.id)
	if !pause(gone, e.work(time.Duration(250+rand.IntN(200))*time.Millisecond)) {
		e.record.write(e.id, "dropped", "request", id)
		return false
	}
	head := "Content-Type: text/event-stream\r\nCardamompoint-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for number := after + 1; number <= pieces; number++ {
		event := piece(id, number)
		if _, err := fmt.Fprintf(conn, "%s%x\r\n%s\r\n", head, len(event), event); err != nil {
			return false
		}
		if head != "" {
			e.runs.mark(&run.began)
			head = ""
		}
		if !pause(gone, e.work(20*time.Millisecond)) {
			e.record.write(e.id, "dropped", "request", id, "events", number)
			return false
		}
	}
	_, err := io.WriteString(conn, head+"0\r\n\r\n")
	e.record.write(e.id, "ends", "request", id)
	e.runs.mark(&run.ended)
	<-gone
	return err == nil
}

// pause waits. It returns false if the channel ends before.
func pause(gone <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-gone:
		return false
	case <-timer.C:
		return true
	}
}

// piece returns an event of the answer to a request.
func piece(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)
}

// wholeAnswer returns all events of the answer to a request.
func wholeAnswer(id string) string {
	var all strings.Builder
	for number := 1; number <= pieces; number++ {
		all.WriteString(piece(id, number))
	}
	return all.String()
}
