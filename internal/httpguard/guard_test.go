package httpguard

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const testLimit = 16 << 10

func testLimits() Limits {
	return Limits{HeadBytes: testLimit, HeadTimeout: time.Minute}
}

// bytesConn is a connection that reads from a reader.
type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// oneByteReader returns one byte per read.
type oneByteReader struct {
	reader io.Reader
}

func (o *oneByteReader) Read(p []byte) (int, error) {
	return o.reader.Read(p[:min(1, len(p))])
}

// guardString returns what a guarded connection passes on of text.
func guardString(text string) string {
	raw, _ := io.ReadAll(NewConn(&bytesConn{reader: strings.NewReader(text)}, testLimits))
	return string(raw)
}

func TestWellFormedRequestsPass(t *testing.T) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a?b=c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n",
	} {
		if got := guardString(text); got != text {
			t.Errorf("%q became %q", text, got)
		}
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	for _, lines := range []string{
		"Content-Length: 5\r\nContent-Length: 5\r\n",
		"Content-Length: 5\r\nContent-Length: 6\r\n",
		"Content-Length: 5, 5\r\n",
		"Content-Length: +5\r\n",
		"Content-Length: 0x5\r\n",
		"Content-Length: \r\n",
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: identity\r\n",
		"Transfer-Encoding : chunked\r\n",
		"Content-Length : 5\r\n",
		"A: b\n",
		"A: b\rC: d\r\n",
		"A: b\r\n folded\r\n",
		"A: b\r\n\tfolded\r\n",
		" A: b\r\n",
		"A\r\n",
		": b\r\n",
		"A: b\x00c\r\n",
	} {
		text := "POST / HTTP/1.1\r\nHost: a\r\n" + lines + "\r\nhello"
		if got := guardString(text); got != invalidHead {
			t.Errorf("%q became %q", text, got)
		}
	}
	old := "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	if got := guardString(old); got != invalidHead {
		t.Errorf("%q became %q", old, got)
	}
	for _, line := range []string{"GET  / HTTP/1.1", "GET / HTTP/1.1 ", "GET /", "GET / HTTP/2.0", "", "G\tET / HTTP/1.1"} {
		if got := guardString(line + "\r\nHost: a\r\n\r\n"); got != invalidHead {
			t.Errorf("%q became %q", line, got)
		}
	}
}

func TestMalformedChunksEndTheBody(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, chunks := range []string{"3\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\n\r\n", "-1\r\n", "g\r\n", strings.Repeat("1", 2000)} {
		raw, err := io.ReadAll(NewConn(&bytesConn{reader: strings.NewReader(head + chunks)}, testLimits))
		if err != ErrMalformedBody {
			t.Errorf("%q passed as %q with error %v", chunks, raw, err)
		}
	}
}

func TestLongHeadsAreReplaced(t *testing.T) {
	head := "GET / HTTP/1.1\r\n"
	within := head + "X: " + strings.Repeat("y", testLimit-7) + "\r\n\r\n"
	if got := guardString(within); got != within {
		t.Errorf("a head of the limit became one of %d bytes", len(got))
	}
	for _, text := range []string{
		head + "X: " + strings.Repeat("y", 2*testLimit),
		head + "X: " + strings.Repeat("y", testLimit-6) + "\r\n\r\n",
		"GET /" + strings.Repeat("y", testLimit) + " HTTP/1.1\r\n\r\n",
		"GET /" + strings.Repeat("y", 2*testLimit),
	} {
		if got := guardString(text); got != oversizedHead {
			t.Errorf("a head of %d bytes became %.60q, %d bytes", len(text), got, len(got))
		}
	}
}

// TestSlowHeadEndsTheConnection sends part of a head. The guard's timer must close the
// connection, as the server sets no deadline.
func TestSlowHeadEndsTheConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	guarded := NewConn(near, func() Limits { return Limits{HeadBytes: testLimit, HeadTimeout: time.Millisecond} })
	go fmt.Fprint(far, "GET / HTTP/1.1\r\nHost:")
	if raw, err := io.ReadAll(guarded); err == nil || len(raw) > 0 {
		t.Errorf("got %q, %v", raw, err)
	}
}

// TestServerRejectsMalformedHead checks the status with which net/http responds to replaced
// heads.
func TestServerRejectsMalformedHead(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), MaxHeaderBytes: MaxHeadBytes}
	go func() { _ = server.Serve(&Listener{Listener: plain, Limits: testLimits}) }()
	defer server.Close()
	for text, want := range map[string]string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n": "404",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n": "400",
		"GET / HTTP/1.1\nHost: a\n\n":                                         "400",
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("y", testLimit) + "\r\n\r\n": "431",
	} {
		conn, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, text)
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.Contains(line, want) {
			t.Errorf("%q got %q, %v", text, line, err)
		}
		conn.Close()
	}
}

// FuzzGuard checks that net/http sees the same requests and bodies as the guard in what is
// passed on, however the bytes arrive, and that nothing is added.
func FuzzGuard(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("GET / HTTP/1.1\nHost: a\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := io.ReadAll(NewConn(&bytesConn{reader: bytes.NewReader(data)}, testLimits))
		split, splitErr := io.ReadAll(NewConn(&bytesConn{reader: &oneByteReader{bytes.NewReader(data)}}, testLimits))
		if !bytes.Equal(whole, split) || wholeErr != splitErr {
			t.Fatalf("%q, %v when read at once, but %q, %v byte by byte", whole, wholeErr, split, splitErr)
		}
		passed := bytes.TrimSuffix(bytes.TrimSuffix(whole, []byte(invalidHead)), []byte(oversizedHead))
		if !bytes.HasPrefix(data, passed) {
			t.Fatalf("%q was passed on as %q", data, passed)
		}
		checkFraming(t, passed)
	})
}

// checkFraming compares the requests that net/http parses with those of the guard.
func checkFraming(t *testing.T, passed []byte) {
	reader := bufio.NewReader(bytes.NewReader(passed))
	at := 0
	for at < len(passed) {
		end := headEnd(passed[at:])
		if end < 0 {
			return
		}
		framed, err := parseHead(passed[at : at+end])
		if err != nil {
			t.Fatalf("a malformed head was passed on: %q", passed[at:at+end])
		}
		at += end
		consumed, err := framed.consume(passed[at:])
		at += consumed
		complete := err == nil && framed.done()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // net/http rejects more than the guard does.
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if complete && reader.Buffered() == 0 && at < len(passed) && len(passed) < 4096 {
			t.Fatalf("net/http read to the end, the guard to %d of %d", at, len(passed))
		}
		if complete && len(passed) < 4096 && reader.Buffered() != len(passed)-at {
			t.Fatalf("net/http has %d bytes left, the guard %d", reader.Buffered(), len(passed)-at)
		}
	}
}

// endlessRequests is a connection that repeats the same request.
type endlessRequests struct {
	net.Conn
	request []byte
}

func (e *endlessRequests) Read(p []byte) (int, error) {
	return copy(p, e.request), nil
}

// TestKeptConnectionAllocatesLittle reads requests from a persistent connection. Reading
// one must not allocate a buffer.
func TestKeptConnectionAllocatesLittle(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	conn := NewConn(&endlessRequests{request: []byte(request)}, func() Limits { return Limits{HeadBytes: MaxHeadBytes} })
	buffer := make([]byte, readSize)
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if _, err := conn.Read(buffer); err != nil {
				b.Fatal(err)
			}
		}
	}).AllocedBytesPerOp()
	if allocated >= readSize/2 {
		t.Errorf("%d bytes allocated per request", allocated)
	}
}

// TestLongBodyIsReadAtOnce reads a long body of known length. One read must return as many
// bytes as the buffer takes, and none after the body.
func TestLongBodyIsReadAtOnce(t *testing.T) {
	const size = 40 << 10
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	body := strings.Repeat("b", size)
	source := &pieceReader{remaining: []string{head, body + "GET /next"}}
	conn := NewConn(source, func() Limits { return Limits{HeadBytes: MaxHeadBytes} })
	buffer := make([]byte, 2*size)
	if count, err := conn.Read(buffer); err != nil || string(buffer[:count]) != head {
		t.Fatalf("got %q, %v", buffer[:count], err)
	}
	if count, err := conn.Read(buffer); err != nil || string(buffer[:count]) != body {
		t.Errorf("got %d bytes of the body, %v", count, err)
	}
	if source.remaining[0] != "GET /next" {
		t.Errorf("%q remains, want the bytes after the body", source.remaining[0])
	}
}

// pieceReader is a connection that returns at most one of its pieces with each read.
type pieceReader struct {
	net.Conn
	remaining []string
}

func (c *pieceReader) Read(buffer []byte) (int, error) {
	if len(c.remaining) == 0 {
		return 0, io.EOF
	}
	count := copy(buffer, c.remaining[0])
	if c.remaining[0] = c.remaining[0][count:]; c.remaining[0] == "" {
		c.remaining = c.remaining[1:]
	}
	return count, nil
}
