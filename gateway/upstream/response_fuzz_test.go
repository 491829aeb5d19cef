package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzReadResponse reads arbitrary bytes of an endpoint: a returned response must belong to the
// request, and the connection may only be reused if nothing is left on it.
func FuzzReadResponse(f *testing.F) {
	own := "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok"
	other := "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: b2\r\nContent-Length: 2\r\n\r\nno"
	chunks := "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for _, text := range []string{
		own, other + own, other + other + other + own, own + own, own + "x", chunks, chunks + "0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + own,
		"HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nCardamompoint-Attempt-Id: a1\r\n\r\nok", "HTTP/1.1 204 No Content\r\nCardamompoint-Attempt-Id: a1\r\n\r\n",
		"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 9\r\n\r\nok",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		conn := newConn("endpoint", &scriptConn{source: bytes.NewReader(sent)})
		response, info, err := conn.ReadResponse(http.MethodPost, "a1")
		if err != nil {
			return
		}
		if info.ID != "a1" || response.StatusCode < http.StatusOK {
			t.Fatalf("%q: the response to %q with status %d was accepted", sent, info.ID, response.StatusCode)
		}
		body, err := io.ReadAll(response.Body)
		if response.ContentLength >= 0 && err == nil && int64(len(body)) != response.ContentLength && bodyAllowed(response) {
			t.Fatalf("%q: %d of %d bytes were read without an error", sent, len(body), response.ContentLength)
		}
		if err != nil || !conn.PrepareReuse(response, info) {
			return
		}
		if left := conn.raw.(*scriptConn).source.Len() + conn.reader.Buffered(); left > 0 && left < readBufferBytes {
			t.Fatalf("%q: the connection is reusable with %d bytes left", sent, left)
		}
	})
}

func bodyAllowed(response *http.Response) bool {
	return response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
}

// TestReuseDependsOnResponse checks after which responses a connection may be reused.
func TestReuseDependsOnResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\n"
	for _, c := range []struct {
		text string
		keep bool
	}{
		{head + "Content-Length: 2\r\n\r\nok", true},
		{head + "Content-Length: 2\r\nConnection: close\r\n\r\nok", false},
		{head + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK", false},
		{"HTTP/1.0 200 OK\r\nCardamompoint-Attempt-Id: a1\r\n\r\nok", false},
		{head + "Content-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok", true},
	} {
		conn := newConn("endpoint", &scriptConn{source: bytes.NewReader([]byte(c.text))})
		response, info, err := conn.ReadResponse(http.MethodPost, "a1")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
		if kept := conn.PrepareReuse(response, info); kept != c.keep {
			t.Errorf("%q: reusable is %v", c.text, kept)
		}
	}
}

// scriptConn is a connection on which the endpoint sends a fixed sequence of bytes.
type scriptConn struct {
	source *bytes.Reader
}

func (c *scriptConn) Read(p []byte) (int, error)       { return c.source.Read(p) }
func (c *scriptConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptConn) Close() error                     { return nil }
func (c *scriptConn) LocalAddr() net.Addr              { return nil }
func (c *scriptConn) RemoteAddr() net.Addr             { return nil }
func (c *scriptConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptConn) SetWriteDeadline(time.Time) error { return nil }
