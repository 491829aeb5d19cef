package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/socket"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// requestKind is a kind of request with the text of one.
type requestKind struct {
	method, path, headers, body string
}

const promptHeaders = "Cardamompoint-Model: m\r\nCardamompoint-Token-Counts: 100,50\r\nCardamompoint-Prompt-Prefix: " + chatPromptParts + "\r\n"

// requestKinds are the kinds of requests, one of them with a body that is written beside the reading of the answer.
var requestKinds = map[string]requestKind{
	"idempotent":           {http.MethodPost, "/lookup/1", "", "work"},
	"without body":         {http.MethodGet, "/lookup/1", "", ""},
	"non-idempotent":       {http.MethodPost, "/deposit/1", "", "work"},
	"public":               {http.MethodPost, "/open/1", "", "work"},
	"stream":               {http.MethodPost, "/chat/1", promptHeaders, "work"},
	"resumable stream":     {http.MethodPost, "/roster/1", promptHeaders, "work"},
	"stream, long request": {http.MethodPost, "/roster/1", promptHeaders, strings.Repeat("w", 3*asyncWriteBytes)},
}

// text returns a request of the kind. more is added to its headers.
func (k requestKind) text(id, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nCardamompoint-Attempt-Id: %s\r\nContent-Length: %d\r\n%s%s\r\n%s",
		k.method, k.path, hosted.Host, hosted.Key, id, len(k.body), k.headers, more, k.body)
}

// listenLate opens another address for callers at the first gateway.
func (f *testFleet) listenLate() *fleettest.LateListener {
	f.t.Helper()
	late := fleettest.ListenLate(f.t, f.address(1, frontPort+500))
	g := f.gateways[0]
	l := g.newCallerListener(late, http.HandlerFunc(g.serveCaller))
	go func() { _ = l.server.Serve(l.net) }()
	return late
}

// dial connects to a listener.
func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// keepOneEndpoint removes the second endpoint of each service, so that requests go on connections that were used
// before.
func (f *testFleet) keepOneEndpoint() {
	f.t.Helper()
	f.store.DeleteEndpoint("engine-2")
	f.store.DeleteEndpoint("plain-2")
	f.eventually("one endpoint of each service is known", func() bool {
		ready := f.gateways[0].tracker.Snapshot().Ready
		return len(ready["engines"]) == 1 && len(ready["plain"]) == 1
	})
}

// awaitSilentEndpoints lets all endpoints be silent, and routes wait for them for longer than the test lasts.
func (f *testFleet) awaitSilentEndpoints() {
	f.t.Helper()
	for _, worker := range f.workers {
		worker.SetDefault(hosted.Hang)
	}
	f.publish(2, func(configuration *hosted.Configuration) {
		for i := range configuration.Routes {
			configuration.Routes[i].TimeoutMS, configuration.Routes[i].LatencyGoalMS = 120_000, 120_000
		}
	})
	f.eventually("the change is known", func() bool { return f.gateways[0].configVersion() == 2 })
}

// arrivals returns how often a request has reached an endpoint.
func (f *testFleet) arrivals(id string) int {
	count := 0
	for _, worker := range f.workers {
		for _, seen := range worker.Seen() {
			if seen.ID == id {
				count++
			}
		}
	}
	return count
}

// TestRequestReadAfterItsCallerLeftIsNotSentOn lets callers send a request and leave before the gateway reads it.
func TestRequestReadAfterItsCallerLeftIsNotSentOn(t *testing.T) {
	const rounds = 3
	f := newTestFleet(t, 1)
	f.keepOneEndpoint()
	listener := f.listenLate()
	closed := func() int64 { return f.gateways[0].closures.closed.Load() }
	for name, kind := range requestKinds {
		for leaving, linger := range map[string]int{"close": -1, "reset": 0} {
			late := 0
			for round := range rounds {
				if got := f.ask(context.Background(), 1, query{method: kind.method, path: kind.path, body: "work", promptParts: chatPromptParts}); got.status != http.StatusOK {
					t.Fatalf("a request before got %+v", got)
				}
				id := fmt.Sprintf("1eft%s%s%d", strings.ReplaceAll(name, " ", ""), leaving, round)
				conn := dial(t, listener.Addr().String())
				io.WriteString(conn, kind.text(id, ""))
				_ = conn.SetLinger(linger)
				conn.Close()
				before := closed()
				listener.LetIn()
				f.eventually("the gateway closes the connection", func() bool { return closed() > before })
				time.Sleep(5 * time.Millisecond)
				late += f.arrivals(id)
			}
			if late > 0 {
				t.Errorf("%s, %s: %d of %d requests reached endpoints", name, leaving, late, rounds)
			}
		}
	}
}

// TestCloseBehindASecondRequestEndsTheWork sends two requests at once and leaves while the first one is worked on.
func TestCloseBehindASecondRequestEndsTheWork(t *testing.T) {
	f := newTestFleet(t, 1)
	f.keepOneEndpoint()
	f.awaitSilentEndpoints()
	for name, kind := range requestKinds {
		first, second := "f1"+strings.ReplaceAll(name, " ", ""), "5ec"+strings.ReplaceAll(name, " ", "")
		conn := dial(t, f.address(1, frontPort))
		io.WriteString(conn, kind.text(first, "")+kind.text(second, ""))
		f.eventually("the first request is worked on", func() bool { return f.arrivals(first) > 0 })
		conn.Close()
		f.eventually(name+": the work ends", func() bool {
			return f.workers["plain-1"].Abandoned(first) || f.workers["engine-1"].Abandoned(first)
		})
		f.eventually("the request ends at the gateway", func() bool { return f.gateways[0].active.Load() == 0 })
		if count := f.arrivals(second); count > 0 {
			t.Errorf("%s: the second request reached endpoints %d times", name, count)
		}
	}
}

// TestSecondRequestOnAConnectionIsServed sends two requests at once and stays.
func TestSecondRequestOnAConnectionIsServed(t *testing.T) {
	f := newTestFleet(t, 1)
	for name, kind := range requestKinds {
		conn := dial(t, f.address(1, frontPort))
		io.WriteString(conn, kind.text("a1", "")+kind.text("a2", "Connection: close\r\n"))
		answers, err := io.ReadAll(conn)
		if count := strings.Count(string(answers), "HTTP/1.1 200 OK"); err != nil || count != 2 {
			t.Errorf("%s: %d answers, %v: %q", name, count, err, answers)
		}
	}
}

// TestUnsentRestOfARequestIsDroppedWhenItsCallerLeaves sends a long request to an endpoint that reads it only after
// the caller has left.
func TestUnsentRestOfARequestIsDroppedWhenItsCallerLeaves(t *testing.T) {
	f := newTestFleet(t, 1)
	f.awaitSilentEndpoints()
	listener := f.listenWithSmallBuffer(f.address(130, workerPort))
	f.store.PutEndpoint("slow", "plain", listener.Addr().String(), "ready")
	f.store.DeleteEndpoint("plain-1")
	f.store.DeleteEndpoint("plain-2")
	f.eventually("the slow endpoint alone is known", func() bool {
		ready := f.gateways[0].tracker.Snapshot().Ready["plain"]
		return len(ready) == 1 && ready[0].ID == "slow"
	})
	for _, path := range []string{"/lookup/1", "/deposit/1"} {
		body := strings.Repeat("w", 60_000)
		conn := dial(t, f.address(1, frontPort))
		io.WriteString(conn, requestKind{method: http.MethodPost, path: path, body: body}.text("a1", ""))
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		f.eventually("the request is in progress", func() bool { return f.gateways[0].active.Load() == 1 && socket.HasUnread(accepted) })
		conn.Close()
		f.eventually("the request ends at the gateway", func() bool { return f.gateways[0].active.Load() == 0 })
		_ = accepted.SetReadDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(accepted); len(got) >= len(body) {
			t.Errorf("%s: the endpoint got %d bytes after the caller had left: %v", path, len(got), err)
		}
		accepted.Close()
	}
}

// listenWithSmallBuffer listens at an address. Its connections take few bytes before they are read.
func (f *testFleet) listenWithSmallBuffer(address string) net.Listener {
	f.t.Helper()
	const bufferBytes = 4 << 10
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes); err != nil {
				f.t.Error(err)
			}
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { listener.Close() })
	return listener
}

// TestTimeOfARequestBeginsWhenItArrives lets requests lie unread for longer than their time, and for a part of it:
// before their connection is accepted, and behind another request.
func TestTimeOfARequestBeginsWhenItArrives(t *testing.T) {
	const unread = 600 * time.Millisecond
	f := newTestFleet(t, 1)
	f.keepOneEndpoint()
	late := f.listenLate()
	f.workers["plain-1"].Delay = unread
	sendLate := func(text string) (answer string) {
		conn := dial(t, late.Addr().String())
		io.WriteString(conn, text)
		time.Sleep(unread)
		late.LetIn()
		return readToEnd(conn)
	}
	sendBehind := func(text, first string) (answer string) {
		conn := dial(t, f.address(1, frontPort))
		io.WriteString(conn, requestKinds["idempotent"].text(first, ""))
		f.eventually("the first request is worked on", func() bool { return f.arrivals(first) > 0 })
		io.WriteString(conn, text)
		return readToEnd(conn)
	}
	for name, kind := range requestKinds {
		id := strings.ReplaceAll(name, " ", "")
		short := func(id string) string {
			return kind.text(id, "Connection: close\r\nCardamompoint-Request-Deadline: 400\r\n")
		}
		answers := map[string]string{"a" + id: sendLate(short("a" + id)), "b" + id: sendBehind(short("b"+id), "f"+id)}
		for id, answer := range answers {
			if count := f.arrivals(id); count > 0 || !strings.Contains(answer, " 503 ") || !strings.Contains(answer, "read_late") {
				t.Errorf("%s: the request's time was over, and it reached %d endpoints: %q", id, count, answer)
			}
		}
		sendLate(kind.text("c"+id, "Connection: close\r\nCardamompoint-Request-Deadline: 5000\r\n"))
		if left := f.deadlineOf("c" + id); left <= 0 || left > 5*time.Second-unread+20*time.Millisecond {
			t.Errorf("%s: the endpoint was told %v, want 5 s less %v", name, left, unread)
		}
	}
}

// readToEnd reads a connection to its end.
func readToEnd(conn net.Conn) string {
	raw, _ := io.ReadAll(conn)
	return string(raw)
}

// deadlineOf returns the time that an endpoint was given for a request, 0 if none got it.
func (f *testFleet) deadlineOf(id string) time.Duration {
	for _, worker := range f.workers {
		for _, seen := range worker.Seen() {
			if seen.ID == id {
				left, _ := strconv.ParseFloat(seen.Header.Get("Cardamompoint-Request-Deadline"), 64)
				return time.Duration(left * float64(time.Millisecond))
			}
		}
	}
	return 0
}
