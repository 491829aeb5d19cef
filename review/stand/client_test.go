package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	method string
	path   string
	// deadline is how long the client waits.
	deadline time.Duration
	// header has further header lines.
	header []string
	body   string
}

// reply is what a client got: a status, or 0 if there was no answer.
type reply struct {
	id     string
	status int
	body   string
	// sealed reports whether the answer bears a worker's seal.
	sealed bool
	took   time.Duration
	err    error
}

// Names in the configuration of the cases.
const (
	host      = "alleys.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
)

// lastID numbers the requests of all clients.
var lastID atomic.Int64

// newID returns the ID of a new attempt.
func newID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1))
}

// send sends a request to a gateway on a new connection and reads the answer.
func (b *bench) send(g *gateway, ask request) reply {
	id := newID()
	began := time.Now()
	got := exchange(g.front(), id, ask)
	got.id, got.took = id, time.Since(began)
	b.record.line("request %s %s %s to %s: status %d, sealed %t, %d bytes, %d ms, %v", id, ask.method, ask.path, g.name, got.status, got.sealed, len(got.body), got.took.Milliseconds(), got.err)
	return got
}

// exchange sends one request and reads the answer until the client's deadline.
func exchange(address, id string, ask request) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(ask.deadline)); err != nil {
		return reply{err: err}
	}
	if _, err := io.WriteString(conn, ask.message(id)); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: ask.method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), sealed: response.Header.Get("Cardamompoint-Response-Seal") != "", err: err}
}

// message returns the bytes of a request.
func (r request) message(id string) string {
	lines := []string{
		fmt.Sprintf("%s %s HTTP/1.1", r.method, r.path),
		"Host: " + host,
		"Cardamompoint-Attempt-Id: " + id,
		fmt.Sprintf("Cardamompoint-Request-Deadline: %d", r.deadline.Milliseconds()),
		"Authorization: Bearer " + clientKey,
	}
	lines = append(lines, r.header...)
	if r.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + r.body
}
