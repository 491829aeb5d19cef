package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// cut is a way in which a server stops within a response.
type cut struct {
	name string
	// leave leaves the connection after a part of the response.
	leave func(*net.TCPConn)
	// timeout bounds the client's call.
	timeout time.Duration
}

// cutTimeout is longer than a call takes whose connection ends, on the slowest machine.
const cutTimeout = 30 * time.Second

var (
	closed = cut{"close", func(conn *net.TCPConn) { _ = conn.CloseWrite() }, cutTimeout}
	reset  = cut{"reset", func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, cutTimeout}
	silent = cut{"silence", func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }, 20 * time.Millisecond}
)

// CheckCutResponses checks that a call fails if its server stops within the response, at each byte of it and in each way. The
// server at address answers the call with body, once with a length and once in chunks.
func CheckCutResponses(t *testing.T, body string, call func(ctx context.Context, address string) error) {
	t.Helper()
	for framing, response := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		if err := closed.call(t, response, call); err != nil {
			t.Errorf("%s, the whole response: %v", framing, err)
		}
		for _, c := range []cut{closed, reset, silent} {
			for place := range len(response) {
				if c.call(t, response[:place], call) == nil {
					t.Errorf("%s, %s after %q: no error", framing, c.name, response[:place])
				}
			}
		}
	}
}

// call makes a call to a server that answers with a part of a response.
func (c cut) call(t *testing.T, part string, call func(ctx context.Context, address string) error) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go c.serve(listener, part)
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	return call(ctx, listener.Addr().String())
}

// serve answers the first request of each connection with a part of a response.
func (c cut) serve(listener net.Listener, part string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go c.answer(conn.(*net.TCPConn), part)
	}
}

func (c cut) answer(conn *net.TCPConn, part string) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, part); err == nil {
		c.leave(conn)
	}
}
