package httpguard

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlowNextHeadDoesNotCutTheRequestInProgress sends the start of the next head while a request is
// served and the next piece after the timeout of a head: the request must keep its connection, and
// the rest of the head has the timeout once the answer has been written.
func TestSlowNextHeadDoesNotCutTheRequestInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		conn := NewConn(near, func() Limits { return Limits{HeadBytes: 1 << 10, HeadTimeout: time.Second} })
		go func() { _, _ = far.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET")) }()
		if _, err := conn.Read(make([]byte, 100)); err != nil || !conn.Claim() {
			t.Fatal("the first request was not read", err)
		}
		watched := make(chan error, 1)
		go func() { // As a server does that watches for the end of the connection.
			_, err := conn.Read(make([]byte, 1))
			watched <- err
		}()
		time.Sleep(2 * time.Second)
		if _, err := far.Write([]byte(" / HTTP/1.1\r\n")); err != nil {
			t.Fatal("the connection was closed under a request:", err)
		}
		if err := conn.SetReadDeadline(time.Now()); err != nil {
			t.Fatal(err)
		}
		if err := <-watched; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("the server was told that the caller has left:", err)
		}
		conn.Release()
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := conn.Read(make([]byte, 100)); err == nil || time.Since(began) != time.Second {
			t.Errorf("the next head was waited for %v, %v", time.Since(began), err)
		}
	})
}
