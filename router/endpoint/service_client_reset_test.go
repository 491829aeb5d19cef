package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestAnswerThatIsResetDuringACallIsNoAnswer guards against the part of an answer without a length that looks complete, as the
// concurrent write of the call took the error of the reset.
func TestAnswerThatIsResetDuringACallIsNoAnswer(t *testing.T) {
	const rounds, bodyBytes = 200, 3 << 20
	address := listen(t, answerAndReset)
	client := NewServiceClient(&http.Transport{})
	complete := 0
	for range rounds {
		call := Call{RequestID: "r1", Method: http.MethodPost, Path: "/work", Body: bytes.Repeat([]byte("x"), bodyBytes)}
		if _, err := client.Call(context.Background(), address, call); err == nil {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d calls returned the part as an answer", complete, rounds)
	}
}

// answerAndReset answers a call whose body it does not read, and resets the connection.
func answerAndReset(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+RequestHeader+": r1\r\n\r\npart")
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// listen serves each connection to the returned address until the test ends.
func listen(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}
