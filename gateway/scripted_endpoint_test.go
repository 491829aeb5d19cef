package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// scriptedEndpoint is an endpoint that answers with given bytes, whatever the protocol says.
type scriptedEndpoint struct {
	mu sync.Mutex
	// answers are the answers to the next requests, in order; the last one is repeated. In them
	// $ID is the ID of the request, $FIRST that of the first one, and $REST are the events after the one that the
	// request says its caller has. An answer pauses at $PAUSE until another request was received, and one that ends with
	// $CLOSE closes the connection.
	answers []string
	// seen are the IDs of the requests received.
	seen []string
}

const (
	// closeMark ends an answer after which the connection is closed.
	closeMark = "$CLOSE"
	// pauseMark is where an answer pauses until another request was received.
	pauseMark = "$PAUSE"
	// pauseTail is how long such a pause goes on, so that a VM has the answer to the other request.
	pauseTail = 250 * time.Millisecond
)

// replaceByScripted replaces the endpoints of a service by two that answer from one script.
func (f *testFleet) replaceByScripted(service string, replaced []string, answers ...string) *scriptedEndpoint {
	f.t.Helper()
	e := &scriptedEndpoint{answers: answers}
	f.replaceByRaw(service, replaced, e.serve)
	return e
}

// replaceByRaw replaces the endpoints of a service by two whose connections are served by a function.
func (f *testFleet) replaceByRaw(service string, replaced []string, serve func(net.Conn)) {
	f.t.Helper()
	for _, id := range replaced {
		f.store.DeleteEndpoint(id)
	}
	for host, id := range map[int]string{120: "scripted-1", 121: "scripted-2"} {
		f.addRaw(id, service, host, serve)
	}
	f.eventually("only the scripted endpoints are known", func() bool {
		for _, endpoint := range f.gateways[0].tracker.Snapshot().Ready[service] {
			if !strings.HasPrefix(endpoint.ID, "scripted-") {
				return false
			}
		}
		return len(f.gateways[0].tracker.Snapshot().Ready[service]) == 2
	})
}

// addRaw adds an endpoint whose connections are served by a function.
func (f *testFleet) addRaw(id, service string, host int, serve func(net.Conn)) {
	f.t.Helper()
	f.listenRaw(f.address(host, workerPort), serve)
	f.store.PutEndpoint(id, service, f.address(host, workerPort), "ready")
}

// listenRaw serves each connection to an address until the test ends.
func (f *testFleet) listenRaw(address string, serve func(net.Conn)) {
	f.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
}

func (e *scriptedEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Cardamompoint-Attempt-Id")
		if id == "" {
			_, _ = io.WriteString(conn, noCallersRequest)
			continue
		}
		text, closing := strings.CutSuffix(e.next(id), closeMark)
		text = strings.ReplaceAll(text, "$REST", eventsAfter(request.Header.Get("Last-Event-Id")))
		if err := e.writeWithPause(conn, text); err != nil || closing {
			return
		}
	}
}

// writeWithPause writes an answer, with a pause if it has one.
func (e *scriptedEndpoint) writeWithPause(conn net.Conn, text string) error {
	begin, rest, pauses := strings.Cut(text, pauseMark)
	if _, err := io.WriteString(conn, begin); err != nil || !pauses {
		return err
	}
	before := e.requests()
	fleettest.Eventually(func() bool { return e.requests() > before })
	time.Sleep(pauseTail)
	_, err := io.WriteString(conn, rest)
	return err
}

// requests returns the number of requests received.
func (e *scriptedEndpoint) requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

// script sets the answers to the next requests.
func (e *scriptedEndpoint) script(answers ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers = answers
}

// next returns the answer to a request.
func (e *scriptedEndpoint) next(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, id)
	text := e.answers[0]
	if len(e.answers) > 1 {
		e.answers = e.answers[1:]
	}
	text = strings.ReplaceAll(text, "$ID", id)
	return strings.ReplaceAll(text, "$FIRST", e.seen[0])
}

// readCallersRequest reads the head of the first request on a connection, and little more, and returns the request's ID. It answers
// a VM's own request; ok is false then.
func readCallersRequest(conn net.Conn) (id string, ok bool) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return "", false
	}
	id = request.Header.Get("Cardamompoint-Attempt-Id")
	if id == "" {
		_, _ = io.WriteString(conn, noCallersRequest)
	}
	return id, id != ""
}

// noCallersRequest answers a VM's own requests, such as that for the list of cached parts.
const noCallersRequest = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

// scriptedEvents is the number of events of a scripted stream.
const scriptedEvents = 4

// eventsAfter returns the events of a scripted stream after the one with the given ID, all if it is empty.
func eventsAfter(id string) string {
	last, _ := strconv.Atoi(id)
	text := ""
	for number := last + 1; number <= scriptedEvents; number++ {
		text += scriptedEvent(number)
	}
	return text
}

func scriptedEvent(number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
}

// received returns how often a request was received.
func (e *scriptedEndpoint) received(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, seen := range e.seen {
		if seen == id {
			count++
		}
	}
	return count
}
