package stand2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// behavior is what a worker does with a request.
type behavior struct {
	status int
	// events is the number of events of the stream, gap the time between two of them.
	events int
	gap    time.Duration
	// stopAfter is the number of events after which the worker stops in the middle of the next one, for silence; negative
	// for never.
	stopAfter int
	silence   time.Duration
}

// worker is a stand-in of a worker.
type worker struct {
	id, address, service, zone string
	listener                   net.Listener
	record                     *record
	behave                     func(w *worker, r *http.Request) behavior

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// idleTimeout is how long a worker keeps an idle channel.
const idleTimeout = 10 * time.Second

func (d *deployment) startWorker(service string, number int, zone string, behave func(*worker, *http.Request) behavior) (*worker, error) {
	address := d.address(2, number, d.ports.worker)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: fmt.Sprintf("i-%s-%d", service, number), address: address, service: service, zone: zone, listener: l, record: d.record, behave: behave, conns: map[net.Conn]bool{}}
	go w.accept()
	return w, nil
}

// entry is the entry of the worker in the store.
func (w *worker) entry(state string, sequence int) map[string]any {
	return map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": state, "coldLeftMs": 0, "sequence": sequence}
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

// close ends the worker.
func (w *worker) close() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(reader)
		if err != nil || !w.answer(conn, r) {
			return
		}
	}
}

// answer serves a request. It returns whether the channel goes on.
func (w *worker) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Cardamompoint-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if expected := r.Header.Get("Cardamompoint-Expect-Instance"); expected != "" && expected != w.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	w.record.add("run", map[string]any{"worker": w.id, "id": id, "method": r.Method, "uri": r.RequestURI, "last": r.Header.Get("Last-Event-Id"), "body": len(body)})
	b := w.behave(w, r)
	head := fmt.Sprintf("HTTP/1.1 %d OK\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: 3e1b.%s\r\n", b.status, id, w.id)
	return w.sendStream(conn, r, head, id, b)
}

// sendStream sends the events of a stream after the last one that the client has, each as a chunk.
func (w *worker) sendStream(conn net.Conn, r *http.Request, head, id string, b behavior) bool {
	begun := last(r)
	key := streamKey(r)
	if _, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	for n := begun + 1; n <= b.events; n++ {
		chunk := eventChunk(key, n, b.events)
		if n-begun == b.stopAfter {
			// The next event follows at once, but the worker stops when it has sent the size of its chunk.
			next := eventChunk(key, n+1, b.events)
			size := strings.Index(next, "\r\n") + 2
			_, _ = io.WriteString(conn, chunk+next[:size])
			w.record.add("stopped", map[string]any{"worker": w.id, "id": id, "after": n})
			time.Sleep(b.silence)
			if _, err := io.WriteString(conn, next[size:]); err != nil {
				return false
			}
			n++
			continue
		}
		if _, err := io.WriteString(conn, chunk); err != nil {
			w.record.add("left", map[string]any{"worker": w.id, "id": id, "at": n})
			return false
		}
		time.Sleep(b.gap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// eventChunk is an event as a chunk of a body.
func eventChunk(key string, n, total int) string {
	event := eventText(key, n, total)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

func eventText(key string, n, total int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %d of %s\n\n", n, n, total, key)
}

// streamKey is what tells the streams of different requests apart: the last part of the prompt.
func streamKey(r *http.Request) string {
	prefix := r.Header.Get("Cardamompoint-Prompt-Prefix")
	return prefix[strings.LastIndexByte(prefix, ',')+1:]
}
