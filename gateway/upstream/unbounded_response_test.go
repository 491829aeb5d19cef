package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// endlessConn returns begin and then repeat without end. It counts the bytes read of the
// latter.
type endlessConn struct {
	scriptConn
	begin  *bytes.Reader
	repeat []byte
	read   int
}

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.begin.Len() > 0 {
		return c.begin.Read(p)
	}
	count := 0
	for count < len(p) {
		count += copy(p[count:], c.repeat[(c.read+count)%len(c.repeat):])
	}
	c.read += count
	return count, nil
}

var _ net.Conn = (*endlessConn)(nil)

// TestUnboundedResponsesFail reads responses whose header, chunk header or trailer never
// ends, and an endless sequence of responses to other requests: each must fail after a bounded
// number of bytes.
func TestUnboundedResponsesFail(t *testing.T) {
	const (
		maxBody = 128 << 10
		// maxRead allows for chunks of one byte, each with a long extension.
		maxRead = 32 * maxBody
	)
	own := "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\n"
	for name, c := range map[string]struct{ begin, repeat string }{
		"status line":      {"", "x"},
		"line of a head":   {own + "X-Long: ", "x"},
		"lines of a head":  {own, "X: y\r\n"},
		"folded lines":     {own + "X: y\r\n", " z\r\n"},
		"interim answers":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim head":     {"HTTP/1.1 100 Continue\r\n", "X: y\r\n"},
		"chunk extension":  {own + "Transfer-Encoding: chunked\r\n\r\n2;x=", "y"},
		"chunk extensions": {own + "Transfer-Encoding: chunked\r\n\r\n", "1;extension=long\r\nz\r\n"},
		"chunk size":       {own + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":          {own + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "y"},
		"trailers":         {own + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"stray body":       {"HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: b2\r\n\r\n", "x"},
		"stray chunks":     {"HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: b2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"stray answers":    {"", "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: b2\r\nContent-Length: 1\r\n\r\nx"},
	} {
		raw := &endlessConn{begin: bytes.NewReader([]byte(c.begin)), repeat: []byte(c.repeat)}
		conn := newConn("endpoint", raw)
		response, _, err := conn.ReadResponse(http.MethodPost, "a1")
		if err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxBody))
		}
		if err == nil && name != "chunk extensions" {
			t.Errorf("%s: no error", name)
		}
		if raw.read > maxRead {
			t.Errorf("%s: %d bytes were read", name, raw.read)
		}
	}
}

// TestLongHeaderIsRead reads two responses in a row whose header is nearly as long as the
// limit.
func TestLongHeaderIsRead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 40000\r\nX: " + string(bytes.Repeat([]byte("y"), maxHeaderBytes-readBufferBytes)) + "\r\n\r\n"
	text := head + string(bytes.Repeat([]byte("z"), 40_000))
	conn := newConn("endpoint", &scriptConn{source: bytes.NewReader([]byte(text + text))})
	for range 2 {
		response, _, err := conn.ReadResponse(http.MethodPost, "a1")
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != 40_000 {
			t.Fatalf("%d bytes were read, %v", len(body), err)
		}
	}
}

// TestDiscardFailsOnLongBody discards bodies of different sizes: one that is too long must
// be an error, so that its rest is never taken for the next response.
func TestDiscardFailsOnLongBody(t *testing.T) {
	for size, fits := range map[int]bool{0: true, 1000: true, maxDiscardBytes - 1: true, maxDiscardBytes: false, maxDiscardBytes + 1: false} {
		response := &http.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
		if err := Discard(response); (err == nil) != fits {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
}
