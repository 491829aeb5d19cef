package peer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// TestHeadWithoutEndIsBounded guards against routers that run out of memory on the head of an answer.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			sendHeadWithoutEnd(conn)
		}
	}()
	var counter ByteCounter
	response, err := (&http.Client{Transport: NewTransport(&counter)}).Get("http://" + listener.Addr().String())
	if err == nil {
		response.Body.Close()
		t.Error("a head without end was accepted")
	}
	const buffered = 64 << 10 // What the reader holds beside the head.
	if got := counter.Total(); got > jsonhttp.MaxHeaderBytes+buffered {
		t.Errorf("%d bytes of a head were read, want at most %d", got, jsonhttp.MaxHeaderBytes)
	}
}

// sendHeadWithoutEnd sends lines of a head until the connection is closed.
func sendHeadWithoutEnd(conn net.Conn) {
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	line := "X-Long: " + strings.Repeat("x", 1000) + "\r\n"
	for {
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}
