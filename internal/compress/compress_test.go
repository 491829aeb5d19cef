package compress

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestCompressedTextRoundTrips(t *testing.T) {
	for _, text := range []string{"", "a", strings.Repeat("some text ", 5000)} {
		var compressed bytes.Buffer
		if err := Write(&compressed, []byte(text)); err != nil {
			t.Fatal(err)
		}
		reader, err := gzip.NewReader(&compressed)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(reader); err != nil || string(got) != text {
			t.Errorf("got %d bytes of %d, %v", len(got), len(text), err)
		}
	}
}

// failingWriter fails all writes.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestCompressorIsReusableAfterFailedWrite checks that a write error is returned, and that
// the pooled compressor can be used again after it.
func TestCompressorIsReusableAfterFailedWrite(t *testing.T) {
	if err := Write(failingWriter{}, []byte("text")); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("got %v", err)
	}
	TestCompressedTextRoundTrips(t)
}

// TestWriteReusesCompressors checks that the tables of compressors are reused.
func TestWriteReusesCompressors(t *testing.T) {
	const limit = 400 << 10
	raw := []byte(strings.Repeat("some text ", 500))
	allocated := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if err := Write(io.Discard, raw); err != nil {
				b.Fatal(err)
			}
		}
	}).AllocedBytesPerOp()
	if allocated > limit {
		t.Errorf("%d bytes allocated per text", allocated)
	}
}
