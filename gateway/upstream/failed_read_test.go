package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/socket"
)

// responsesByFraming are responses with the body "right".
var responsesByFraming = map[string]string{
	"length": shortResponse,
	"chunks": "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nright\r\n0\r\n\r\n",
	"end":    "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\n\r\nright",
}

// TestResponseEndsWithItsFailedRead guards against a response that is read on after a read of it has failed, wherever that
// was: net/http drops the error of a read between two lines of a header and within one.
func TestResponseEndsWithItsFailedRead(t *testing.T) {
	for name, response := range responsesByFraming {
		t.Run(name, func(t *testing.T) {
			for place := range len(response) {
				if err := readGivenUpAt(t, response, place); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("given up after %q: %v", response[:place], err)
				}
			}
		})
	}
}

// readGivenUpAt reads a response of which the first bytes, as many as given, arrive, and whose read is given up then. The rest
// arrives after that, and further reads would be let go on. It returns the error of reading the response.
func readGivenUpAt(t *testing.T, response string, place int) error {
	t.Helper()
	near, far := fleettest.Connect(t)
	defer near.Close()
	defer far.Close()
	arrive(t, near, far, response[:place])
	conn := newConn("a", near)
	givenUp := false
	conn.OnReadTimeout(func(bool) time.Time {
		if givenUp {
			return time.Now().Add(10 * time.Second)
		}
		givenUp = true
		arrive(t, near, far, response[place:])
		_ = far.CloseWrite()
		return time.Time{}
	})
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	return readWhole(t, conn)
}

// readWhole reads a response and its body. It returns the first error, and one that has the body if there was none.
func readWhole(t *testing.T, conn *Conn) error {
	t.Helper()
	response, info, err := conn.ReadResponse(http.MethodGet, "a1")
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil && conn.PrepareReuse(response, info) {
		t.Errorf("the connection may be reused after %v", err)
	}
	if err == nil {
		return fmt.Errorf("no error, the body is %q", body)
	}
	return err
}

// TestEndWithinAHeadIsReported guards against an endpoint that crashes within a line of a head and is not looked at for that, as the
// response counts as malformed.
func TestEndWithinAHeadIsReported(t *testing.T) {
	head, _, _ := strings.Cut(shortResponse, "right")
	for how, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(how, func(t *testing.T) {
			for place := 1; place < len(head); place++ {
				near, far := fleettest.Connect(t)
				arrive(t, near, far, head[:place])
				_ = far.SetLinger(linger)
				far.Close()
				conn := newConn("a", near)
				if err := readWhole(t, conn); !Broke(err) || !code.Is(err, code.EndpointFault) {
					t.Errorf("%s after %q: %v", how, head[:place], err)
				}
				near.Close()
			}
		})
	}
}

// arrive sends text from far and waits until near can read it.
func arrive(t *testing.T, near, far net.Conn, text string) {
	t.Helper()
	if text == "" {
		return
	}
	if _, err := io.WriteString(far, text); err != nil {
		t.Fatal(err)
	}
	for socket.IsSilent(near) {
		time.Sleep(50 * time.Microsecond)
	}
}
