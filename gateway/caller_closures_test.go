package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// rawRequest is a request on a caller's connection.
const rawRequest = "POST /open/1 HTTP/1.1\r\nHost: desk.example\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"

// dialFront opens a connection to the first VM.
func (f *testFleet) dialFront() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address(1, frontPort))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// askRaw sends a request on a connection and reads the response.
func askRaw(conn net.Conn, request string) (*http.Response, error) {
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestVMTellsOfRequestThatCrossedTheIdleClose guards against requests without an answer and without a line.
func TestVMTellsOfRequestThatCrossedTheIdleClose(t *testing.T) {
	f := newTestFleet(t, 1)
	f.publishLimits(map[string]any{"idleTimeoutMs": 50})
	conn := f.dialFront()
	if _, err := askRaw(conn, rawRequest); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Fatalf("the idle connection was not ended: %q, %v", rest, err)
	}
	io.WriteString(conn, rawRequest)
	f.eventually("the VM tells of the request", func() bool { return f.gateways[0].Status().Callers.Unanswered == 1 })
}

// TestAnsweredConnectionsAreNoLoss closes connections after answers of each kind: none counts as unanswered.
func TestAnsweredConnectionsAreNoLoss(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, request := range []string{
		"POST /open/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"POST /open/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"POST /open/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"POST /open/1 HTTP/1.1\r\nHost: desk.example\r\nExpect: more\r\nContent-Length: 2\r\n\r\nab",
		"POST /open/1 HTTP/3.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n",
	} {
		before := f.gateways[0].Status().Callers.Closed
		conn := f.dialFront()
		if _, err := askRaw(conn, request); err != nil {
			t.Errorf("%q: %v", request, err)
		}
		f.eventually("the connection is closed", func() bool { return f.gateways[0].Status().Callers.Closed == before+1 })
	}
	if got := f.gateways[0].Status().Callers; got.Unanswered != 0 || got.Open != 0 {
		t.Errorf("%+v", got)
	}
}
