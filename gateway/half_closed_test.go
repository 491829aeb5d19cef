package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestCallerThatClosesItsHalfGetsNoFalseSuccess closes the sending half of a caller's connection
// while its request is in progress, as a caller who leaves does: what it can still read must not
// look like a complete answer.
func TestCallerThatClosesItsHalfGetsNoFalseSuccess(t *testing.T) {
	for name, test := range map[string]struct {
		path, headers string
		// begun is the beginning of the answer that is awaited before.
		begun string
	}{
		"answer": {path: "/lookup/1"},
		"stream": {path: "/chat/1", headers: "Cardamompoint-Model: m\r\nCardamompoint-Token-Counts: 100,50\r\nCardamompoint-Prompt-Prefix: " + chatPromptParts + "\r\n", begun: "id: 1\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			for _, worker := range f.workers {
				worker.Events, worker.EventInterval = 1000, 100*time.Millisecond
			}
			for _, id := range plainWorkers {
				f.workers[id].Delay = 20 * time.Second
			}
			conn, err := net.Dial("tcp", f.address(1, frontPort))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 0\r\n%s\r\n", test.path, hosted.Host, hosted.Key, test.headers)
			reader := bufio.NewReader(conn)
			for line := ""; test.begun != "" && line != test.begun; {
				if line, err = reader.ReadString('\n'); err != nil {
					t.Fatal(err)
				}
			}
			f.eventually("the request is in progress", func() bool { return f.gateways[0].active.Load() == 1 })
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			rest, _ := io.ReadAll(reader)
			if strings.HasPrefix(string(rest), "HTTP/1.1 2") || strings.HasSuffix(string(rest), "0\r\n\r\n") {
				t.Errorf("the caller got %q", rest)
			}
		})
	}
}
