package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// The times of the stop that the tests play.
const (
	testGrace     = 4 * time.Second
	testLinger    = 1200 * time.Millisecond
	arrivalPeriod = 500 * time.Millisecond
	// lateAfter is when each request that is sent later is late.
	lateAfter = 1900 * time.Millisecond
)

// stopFleetSize is the number of VMs of which one stops: enough for most to accept requests.
const stopFleetSize = 4

// lateCaller sends one request at a time after the stop.
type lateCaller struct {
	path string
	at   time.Duration
	// open is when the connection was opened: "served" and "unused" before the stop, "new" for the request.
	open string
	conn net.Conn
	result
}

// name describes the caller in messages of tests.
func (c *lateCaller) name() string {
	return fmt.Sprintf("%s after %v on a connection of kind %q", c.path, c.at, c.open)
}

// send sends the request and reads the answer. A zero status means that there was none.
func (c *lateCaller) send(f *testFleet) {
	conn := c.conn
	if conn == nil {
		conn, c.err = net.Dial("tcp", f.address(1, frontPort))
	}
	if c.err != nil {
		return
	}
	defer conn.Close()
	q := query{path: c.path}
	if c.path == "/chat/1" || c.path == "/roster/1" {
		q.promptParts = "a1:10,b" + c.id[8:] + ":5"
	}
	c.exchange(conn, f.newRequest(context.Background(), 1, c.id, q))
}

func (c *lateCaller) exchange(conn net.Conn, request *http.Request) {
	if c.err = request.Write(conn); c.err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		c.err = err
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.result = result{id: c.id, status: response.StatusCode, body: string(body), header: response.Header, complete: err == nil, err: err}
	c.header.Set("Connection", map[bool]string{true: "close"}[response.Close])
}

// newLateCallers returns callers of all routes on all kinds of connections, and opens those that are open before the stop.
func (f *testFleet) newLateCallers() []*lateCaller {
	f.t.Helper()
	var callers []*lateCaller
	for at := time.Duration(0); at < testGrace; at += arrivalPeriod {
		for _, path := range []string{"/chat/1", "/roster/1", "/deposit/1", "/lookup/1"} {
			for _, open := range []string{"served", "unused", "new"} {
				c := &lateCaller{path: path, at: at, open: open, result: result{id: fmt.Sprintf("%016x", f.requests.Add(1))}}
				c.connect(f)
				callers = append(callers, c)
			}
		}
	}
	return callers
}

// connect opens the connection of a caller that opens it before the stop.
func (c *lateCaller) connect(f *testFleet) {
	f.t.Helper()
	if c.open == "new" {
		return
	}
	conn, err := net.Dial("tcp", f.address(1, frontPort))
	if err != nil {
		f.t.Fatal(err)
	}
	c.conn = conn
	if c.open != "served" {
		return
	}
	request := f.newRequest(context.Background(), 1, fmt.Sprintf("%016x", f.requests.Add(1)), query{path: "/open/1"})
	if err := request.Write(conn); err != nil {
		f.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil || response.StatusCode != http.StatusOK {
		f.t.Fatalf("%+v, %v", response, err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
}

// beginStop stops the first VM.
func (f *testFleet) beginStop(grace, linger time.Duration) {
	f.t.Helper()
	g := f.gateways[0]
	f.eventually("the VM knows all others", func() bool { return len(g.members.Alive(clock.Now())) == len(f.gateways)-1 })
	bounds := *g.bounds.Load()
	bounds.GracePeriod = grace
	g.setBounds(bounds)
	g.linger = linger
	f.stops[0]()
	f.eventually("the VM is stopping", func() bool { return g.stopping.Load() })
}

// awaitStop waits until the process of the first VM would end.
func (f *testFleet) awaitStop() {
	err := <-f.done[0]
	f.done[0] <- err
}

// sendLate lets the callers send their requests and closes their connections when the process of the first VM would end.
func (f *testFleet) sendLate(callers []*lateCaller) {
	var all sync.WaitGroup
	for _, c := range callers {
		all.Go(func() {
			time.Sleep(c.at)
			c.send(f)
		})
	}
	f.awaitStop()
	for _, c := range callers {
		if c.conn != nil {
			_ = c.conn.Close()
		}
	}
	all.Wait()
}

// TestLateRequestIsNotCutByTheStop guards against requests that a stopping VM takes late in its grace period and cuts at its end.
func TestLateRequestIsNotCutByTheStop(t *testing.T) {
	f := newTestFleet(t, stopFleetSize)
	callers := f.newLateCallers()
	for _, worker := range f.workers {
		worker.Events, worker.EventInterval = 1000, 10*time.Millisecond
	}
	for _, id := range plainWorkers {
		f.workers[id].SetDefault(hosted.Hang)
	}
	f.beginStop(testGrace, testLinger)
	f.sendLate(callers)
	refused, answered := 0, 0
	for _, c := range callers {
		f.checkLate(c)
		switch {
		case c.status == http.StatusServiceUnavailable && c.at > lateAfter:
			refused++
		case c.status == http.StatusGatewayTimeout && c.path == "/deposit/1":
			answered++
		}
	}
	if refused == 0 || answered == 0 {
		t.Errorf("%d late requests were refused, %d others answered", refused, answered)
	}
}

// checkLate checks that a request was answered, refused or not run; only one that arrived in time and may be repeated may be cut.
func (f *testFleet) checkLate(c *lateCaller) {
	f.t.Helper()
	executions := f.executions(c.id)
	repeatable := c.path == "/roster/1" || c.path == "/lookup/1"
	if executions > 0 && !c.complete && (c.at > lateAfter || !repeatable) {
		f.t.Errorf("%s: run and cut", c.name())
	}
	if !notExecutedStatuses[c.status] {
		return
	}
	if executions > 0 || c.header.Get("Retry-After") == "" || c.header.Get("Connection") != "close" {
		f.t.Errorf("%s: refused after %d executions with the header %v", c.name(), executions, c.header)
	}
}

// TestShortGracePeriodIsKept guards against a stop that waits for the load balancer until the process is killed.
func TestShortGracePeriodIsKept(t *testing.T) {
	f := newTestFleet(t, 1)
	began := time.Now()
	f.beginStop(time.Second, defaultLinger)
	f.awaitStop()
	if took := time.Since(began); took >= defaultLinger {
		t.Errorf("the stop took %v", took)
	}
}

// TestSlowUploadIsNotSentLate guards against a request whose body arrives late in the grace period and that the end of the process cuts.
func TestSlowUploadIsNotSentLate(t *testing.T) {
	f := newTestFleet(t, stopFleetSize)
	for _, worker := range f.workers {
		worker.Events, worker.EventInterval = 1000, 10*time.Millisecond
	}
	c := &lateCaller{path: "/chat/1", open: "unused", result: result{id: "00000000000000e1"}}
	c.connect(f)
	defer c.conn.Close()
	body, rest := io.Pipe()
	request := f.newRequest(context.Background(), 1, c.id, query{path: c.path, promptParts: "a1:10,b1:5"})
	request.Body, request.ContentLength = body, 8
	answered := make(chan struct{})
	go func() {
		c.exchange(c.conn, request)
		close(answered)
	}()
	io.WriteString(rest, "late")
	f.eventually("the request is read", func() bool { return f.gateways[0].active.Load() > 0 })
	f.beginStop(testGrace, testLinger)
	time.Sleep(lateAfter)
	io.WriteString(rest, "rest")
	rest.Close()
	f.awaitStop()
	c.conn.Close()
	<-answered
	if c.status != http.StatusServiceUnavailable || !c.complete || f.executions(c.id) > 0 {
		t.Errorf("%+v after %d executions", c.result, f.executions(c.id))
	}
}

// TestStopAnswersRequestThatIsArriving guards against a stop that closes a kept connection while the head of a request arrives on it.
func TestStopAnswersRequestThatIsArriving(t *testing.T) {
	f := newTestFleet(t, stopFleetSize)
	c := &lateCaller{path: "/lookup/1", open: "served", result: result{id: "00000000000000e2"}}
	c.connect(f)
	defer c.conn.Close()
	var whole bytes.Buffer
	request := f.newRequest(context.Background(), 1, c.id, query{path: c.path})
	if err := request.Write(&whole); err != nil {
		t.Fatal(err)
	}
	f.beginStop(testGrace, testLinger)
	io.WriteString(c.conn, whole.String()[:30])
	time.Sleep(testLinger + 300*time.Millisecond)
	io.WriteString(c.conn, whole.String()[30:])
	response, err := http.ReadResponse(bufio.NewReader(c.conn), request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("got %s, close: %v", response.Status, response.Close)
	}
}

// TestRetryDoesNotBeginLate guards against another attempt whose answer the end of the process would cut.
func TestRetryDoesNotBeginLate(t *testing.T) {
	f := newTestFleet(t, stopFleetSize)
	g := f.gateways[0]
	first := f.newChat(t, "a1:10,b1:5")
	first.timeout, first.arrived = 8*time.Second, clock.Now()
	if _, err := first.nextEndpoint(); err != nil {
		t.Fatal(err)
	}
	f.eventually("the VM knows all others", func() bool { return g.isServedElsewhere(clock.Now()) })
	g.shutdown.Store(planShutdown(clock.Now().Add(-3*time.Second), 8*time.Second, defaultLinger))
	if _, err := first.nextEndpoint(); !code.Is(err, code.Draining) {
		t.Errorf("another attempt began: %v", err)
	}
	if err := first.checkBeforeSend(); !code.Is(err, code.Draining) {
		t.Errorf("the request is sent: %v", err)
	}
	first.timeout = 3 * time.Second
	if err := first.checkBeforeSend(); err != nil {
		t.Errorf("a request that ends in time: %v", err)
	}
	first.timeout, first.headerSent = 8*time.Second, true
	if err := first.checkBeforeSend(); err != nil {
		t.Errorf("a stream in progress does not go on: %v", err)
	}
}

// TestFewServingVMsAreNotElsewhere guards against refusals that send callers from one stopping VM to the next.
func TestFewServingVMsAreNotElsewhere(t *testing.T) {
	f := newTestFleet(t, stopFleetSize)
	g := f.gateways[0]
	f.eventually("all others serve", func() bool { return g.isServedElsewhere(clock.Now()) })
	f.gateways[1].stopping.Store(true)
	f.eventually("two of four serve", func() bool { return !g.isServedElsewhere(clock.Now()) })
	f.gateways[1].stopping.Store(false)
	f.eventually("all others serve again", func() bool { return g.isServedElsewhere(clock.Now()) })
}
