package compress

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestPackedTextIsReadAgain(t *testing.T) {
	for _, text := range []string{"", "a", strings.Repeat("some text ", 5000)} {
		var packed bytes.Buffer
		if err := Write(&packed, []byte(text)); err != nil {
			t.Fatal(err)
		}
		reader, err := gzip.NewReader(&packed)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(reader); err != nil || string(got) != text {
			t.Errorf("got %d bytes of %d, %v", len(got), len(text), err)
		}
	}
}

// closed takes no bytes.
type closed struct{}

func (closed) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestFailedWriteIsToldAndHarmsNoLaterOne(t *testing.T) {
	if err := Write(closed{}, []byte("text")); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("got %v", err)
	}
	TestPackedTextIsReadAgain(t)
}

// TestPackingAllocatesLittle packs many short texts: their tables are used again.
func TestPackingAllocatesLittle(t *testing.T) {
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
		t.Errorf("%d bytes are allocated for each text", allocated)
	}
}
