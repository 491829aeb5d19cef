package stand2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *bufio.Writer
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) add(what string, fields map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.began)
	raw, _ := json.Marshal(fields)
	fmt.Fprintf(r.out, "%8.3f %s %s\n", at.Seconds(), what, raw)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// request is a request of a client.
type request struct {
	id, method, host, path, key string
	deadline                    time.Duration
	body                        []byte
	header                      map[string]string
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// complete reports whether the answer ended as a complete one.
	complete bool
	err      error
	took     time.Duration
}

var idCounter sync.Mutex
var nextID = rand.Uint64() >> 20

func newID() string {
	idCounter.Lock()
	defer idCounter.Unlock()
	nextID++
	return fmt.Sprintf("%016x", nextID)
}

// encode returns the bytes of a request.
func (q *request) encode() []byte {
	text := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nCardamompoint-Attempt-Id: %s\r\n", q.method, q.path, q.host, q.id)
	if q.deadline > 0 {
		text = fmt.Appendf(text, "Cardamompoint-Request-Deadline: %d\r\n", q.deadline.Milliseconds())
	}
	if q.key != "" {
		text = fmt.Appendf(text, "Authorization: Bearer %s\r\n", q.key)
	}
	for name, value := range q.header {
		text = fmt.Appendf(text, "%s: %s\r\n", name, value)
	}
	switch {
	case q.body == nil:
		return append(text, "\r\n"...)
	default:
		text = fmt.Appendf(text, "Content-Length: %d\r\n\r\n", len(q.body))
		return append(text, q.body...)
	}
}

// channel is a client's channel.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func open(address string) (*channel, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request and reads its answer. keep reports whether the channel can be used again.
func (c *channel) do(q *request) (a answer, keep bool) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	limit := q.deadline
	if limit == 0 {
		limit = 15 * time.Second
	}
	_ = c.conn.SetDeadline(began.Add(limit + 2*time.Second))
	if _, err := c.conn.Write(q.encode()); err != nil {
		a.err = err
		// The answer may have come before.
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a, false
	}
	a.status, a.header, a.err = response.StatusCode, response.Header, nil
	a.body, err = io.ReadAll(response.Body)
	a.complete, a.err = err == nil, err
	return a, err == nil && !response.Close
}

// checkStream returns what is wrong with the events of a stream that has total of them. complete reports whether it ended as
// a complete one.
func checkStream(key string, total int, body []byte, complete bool) error {
	next := 1
	for _, event := range bytes.SplitAfter(body, []byte("\n\n")) {
		if !bytes.HasSuffix(event, []byte("\n\n")) {
			continue // A part of an event, or nothing, before the end.
		}
		if want := eventText(key, next, total); string(event) != want {
			return fmt.Errorf("after piece %d comes %q", next-1, event)
		}
		next++
	}
	if complete && next != total+1 {
		return fmt.Errorf("it ends as complete after piece %d of %d", next-1, total)
	}
	return nil
}
