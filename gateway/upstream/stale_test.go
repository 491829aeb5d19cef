package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestIdleConnectionThatEndsWithARequestIsStale ends connections with the second request: with no byte
// of an answer the connection is stale, with one it is not, and a new connection never is.
func TestIdleConnectionThatEndsWithARequestIsStale(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		answers []string
		want    bool
	}{
		"no byte":        {[]string{answer, ""}, true},
		"one byte":       {[]string{answer, "H"}, false},
		"new connection": {[]string{""}, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := listenScript(t, c.answers)
			pool := NewPool()
			for range len(c.answers) - 1 {
				conn, err := pool.Get(context.Background(), "e", address, time.Hour)
				if err != nil {
					t.Fatal(err)
				}
				if err := askOnce(pool, conn); err != nil {
					t.Fatal(err)
				}
			}
			conn, err := pool.Get(context.Background(), "e", address, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			if err := askOnce(pool, conn); err == nil || conn.Stale(err) != c.want {
				t.Errorf("%v: stale %v, want %v", err, conn.Stale(err), c.want)
			}
			conn.Close()
		})
	}
}

// askOnce sends a request and reads its answer.
func askOnce(pool *Pool, conn *Conn) error {
	if _, err := conn.Send([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil); err != nil {
		return err
	}
	response, info, err := conn.ReadResponse(http.MethodGet, "a1")
	if err != nil {
		return err
	}
	if err := Discard(response); err != nil {
		return err
	}
	if conn.PrepareReuse(response, info) {
		pool.Put(conn)
	}
	return nil
}

// listenScript serves connections that answer each request with the next text, and end after the
// last one.
func listenScript(t *testing.T, answers []string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, answers)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, answers []string) {
	defer conn.Close()
	buffer := make([]byte, 4096)
	for _, answer := range answers {
		request := ""
		for !strings.Contains(request, "\r\n\r\n") {
			count, err := conn.Read(buffer)
			if err != nil {
				return
			}
			request += string(buffer[:count])
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}
