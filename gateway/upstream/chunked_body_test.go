package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
)

// errWaited is returned by a waitingReader in place of waiting.
const errWaited = readError("the reader waited")

type readError string

func (e readError) Error() string { return string(e) }

// TestChunkedBodyHoldsNothingBack guards against bytes that are kept while their reader waits for the framing after them.
func TestChunkedBodyHoldsNothingBack(t *testing.T) {
	for _, arrived := range []string{
		"3\r\none", "3\r\none\r", "3\r\none\r\n", "3\r\none\r\n1", "3\r\none\r\n1f", "3\r\none\r\n1f\r", "3\r\none\r\n1f\r\n",
		"3\r\none\r\n1f;name=value\r\n", "3\r\none\r\n0", "3\r\none\r\n0\r\n", "3\r\none\r\n0\r\nName: value\r\n", "3\r\none\r\n000\r\n\r",
	} {
		body := &chunkedBody{source: bufio.NewReader(io.MultiReader(strings.NewReader(arrived), iotest.ErrReader(errWaited)))}
		count, err := body.Read(make([]byte, 4096))
		if count != 3 || err != nil {
			t.Errorf("%q: %d bytes, %v", arrived, count, err)
		}
		if _, err := body.Read(make([]byte, 4096)); err != errWaited {
			t.Errorf("%q: the next read does not wait: %v", arrived, err)
		}
	}
}

// TestChunksThatHaveArrivedAreReadTogether guards against one read, and one write to the caller, for each chunk.
func TestChunksThatHaveArrivedAreReadTogether(t *testing.T) {
	body := &chunkedBody{source: bufio.NewReader(strings.NewReader("3\r\none\r\n4;name=value\r\ntwo \r\n5\r\nth"))}
	buffer := make([]byte, 4096)
	if count, err := body.Read(buffer); string(buffer[:count]) != "onetwo th" || err != nil {
		t.Errorf("%q, %v", buffer[:count], err)
	}
}

// FuzzChunkedBody compares the decoded data with what the decoder of the standard library returns: a body that
// is malformed, too long or cut must not look complete.
func FuzzChunkedBody(f *testing.F) {
	for _, text := range []string{
		"3\r\none\r\n0\r\n\r\n", "3\r\none\r\n0\r\nName: value\r\n\r\n", "3;a=b\r\none\r\n00\r\n\r\n", "A \t\r\n0123456789\r\n0\r\n\r\nrest",
		"3\r\nones\r\n0\r\n\r\n", "3\none\r\n0\r\n\r\n", "3\r\none0\r\n\r\n", "\r\n", "-3\r\none\r\n", "0x3\r\none\r\n", "+3\r\none\r\n", "1_0\r\n",
		"ffffffffffffffff\r\nx", "10000000000000000\r\nx", "3\r\r\none\r\n0\r\n\r\n", "3\r\none\r\n0\r\n", "3\r\none\r\n", "3\r\non",
		strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\ny\r\n", 300) + "0\r\n\r\n", strings.Repeat("1\r\ny\r\n", 300) + "0\r\n\r\n",
	} {
		f.Add([]byte(text), uint16(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, size uint16) {
		source := bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(text)), readBufferBytes)
		got, err := readPieces(&chunkedBody{source: source}, int(size)%5000+1)
		rest := bufio.NewReader(bytes.NewReader(text))
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(rest))
		if !bytes.Equal(got, want) {
			t.Fatalf("%.200q: got %.200q, want %.200q", text, got, want)
		}
		if err == nil && wantErr != nil {
			t.Fatalf("%.200q: complete, want %v", text, wantErr)
		}
		if left, _ := io.ReadAll(rest); err != nil && wantErr == nil && bytes.HasPrefix(left, crlf) {
			t.Fatalf("%.200q: %v, want a complete body", text, err)
		}
	})
}

// readPieces reads a body in pieces of at most size bytes.
func readPieces(body io.Reader, size int) (data []byte, err error) {
	buffer := make([]byte, size)
	for {
		count, err := body.Read(buffer)
		data = append(data, buffer[:count]...)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
