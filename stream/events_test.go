package stream

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzEvents splits streams that arrive in pieces of different sizes: what is
// passed on is the stream's begin up to the end of a whole event, in order.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\ndata: hal"))
	f.Add([]byte("\n\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, source := range []io.Reader{bytes.NewReader(data), iotest.OneByteReader(bytes.NewReader(data)), iotest.DataErrReader(bytes.NewReader(data))} {
			reader := NewEventReader(source)
			var passed []byte
			for {
				events, _, err := reader.Next()
				if err != nil {
					checkEnd(t, data, passed, err)
					break
				}
				if len(events) == 0 {
					t.Fatal("a piece is empty")
				}
				passed = append(passed, events...)
			}
		}
	})
}

func checkEnd(t *testing.T, data, passed []byte, err error) {
	t.Helper()
	if !bytes.HasPrefix(data, passed) {
		t.Fatalf("%q was passed on as %q", data, passed)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) != (len(passed) < len(data)) {
		t.Fatalf("the end of %q after %q is %v", data, passed, err)
	}
}

// TestLastID reads the id of the last whole event.
func TestLastID(t *testing.T) {
	reader := NewEventReader(bytes.NewReader([]byte("id: 1\ndata: a\n\nevent: x\nid:2 \ndata: id: 9\n\ndata: no id\n\nid: 3\nda")))
	_, last, err := reader.Next()
	if err != nil || string(last) != "2" {
		t.Errorf("the last id is %q, %v", last, err)
	}
	if _, _, err := reader.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a stream that ends within an event ends with %v", err)
	}
}

// endless repeats one event.
type endless struct {
	event []byte
}

func (e *endless) Read(p []byte) (int, error) {
	return copy(p, e.event), nil
}

// TestPassingEventsAllocatesNothing bounds the allocations of each event.
func TestPassingEventsAllocatesNothing(t *testing.T) {
	reader := NewEventReader(&endless{[]byte("id: 12\ndata: 0123456789012345678901234567890123456789\n\n")})
	allocations := testing.AllocsPerRun(1000, func() {
		if _, _, err := reader.Next(); err != nil {
			t.Fatal(err)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations for each event", allocations)
	}
}
