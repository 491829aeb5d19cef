package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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
				if body, ok := readGivenUpAt(t, response, place); ok {
					t.Errorf("given up after %q: the body is %q", response[:place], body)
				}
			}
		})
	}
}

// readGivenUpAt reads a response of which the first bytes, as many as given, arrive, and whose read is given up then. The rest
// arrives after that, and further reads would be let go on. ok reports whether the response could be read all the same.
func readGivenUpAt(t *testing.T, response string, place int) (body string, ok bool) {
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
	got, info, err := conn.ReadResponse(http.MethodGet, "a1")
	if err != nil {
		return "", false
	}
	raw, err := io.ReadAll(got.Body)
	if conn.PrepareReuse(got, info) {
		t.Errorf("given up after %q: the connection may be reused", response[:place])
	}
	return string(raw), err == nil
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
