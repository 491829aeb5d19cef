package peer

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestRequestReadAfterItsSenderLeftIsDropped lets a sender leave before its request is read, and one stay.
func TestRequestReadAfterItsSenderLeftIsDropped(t *testing.T) {
	late := fleettest.ListenLate(t, "127.0.0.1:0")
	var served atomic.Int64
	handler := DropAbandoned(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		served.Add(1)
	}))
	server := &http.Server{Handler: handler, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute}
	go server.Serve(CountingListener(late))
	for _, leaves := range []bool{true, false} {
		conn, err := net.Dial("tcp", late.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nwork")
		if leaves {
			conn.(*net.TCPConn).CloseWrite()
		}
		late.LetIn()
		answer, _ := io.ReadAll(conn)
		if answered := len(answer) > 0; answered == leaves || (served.Load() == 0) != leaves {
			t.Errorf("leaves %v: %d requests were served, the sender got %q", leaves, served.Load(), answer)
		}
	}
}
