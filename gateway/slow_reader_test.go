package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestCallerThatReadsNothingIsDisconnected requests a response that is larger than all buffers and
// does not read it: the request must end soon after the timeout of the route.
func TestCallerThatReadsNothingIsDisconnected(t *testing.T) {
	f := newTestFleet(t, 1)
	long := strings.Repeat("x", 16<<20)
	f.listen(f.address(120, workerPort), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cardamompoint-Attempt-Id", r.Header.Get("Cardamompoint-Attempt-Id"))
		w.Header().Set("Cardamompoint-Response-Seal", "x")
		_, _ = io.WriteString(w, long)
	}))
	f.store.DeleteEndpoint("plain-1")
	f.store.DeleteEndpoint("plain-2")
	f.store.PutEndpoint("long-1", "plain", f.address(120, workerPort), "ready")
	g := f.gateways[0]
	f.eventually("only the endpoint with the long response is left", func() bool {
		ready := g.tracker.Snapshot().Ready["plain"]
		return len(ready) == 1 && ready[0].ID == "long-1"
	})
	conn, err := net.Dial("tcp", f.address(1, frontPort))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /open/1 HTTP/1.1\r\nHost: %s\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n", hosted.Host)
	f.eventually("the request is served", func() bool { return g.active.Load() == 1 })
	f.eventually("the request has ended", func() bool { return g.active.Load() == 0 })
}
