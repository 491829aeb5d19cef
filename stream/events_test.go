package stream

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzEvents reads streams that arrive in pieces of different sizes. The events returned
// must be the start of the stream up to the end of a complete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\ndata: hal"))
	f.Add([]byte("\n\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, source := range []io.Reader{bytes.NewReader(data), iotest.OneByteReader(bytes.NewReader(data)), iotest.DataErrReader(bytes.NewReader(data))} {
			reader := NewEventReader(source)
			var returned []byte
			for {
				events, _, err := reader.Next()
				if err != nil {
					checkStreamEnd(t, data, returned, err)
					break
				}
				if len(events) == 0 {
					t.Fatal("Next returned no events and no error")
				}
				returned = append(returned, events...)
			}
		}
	})
}

// checkStreamEnd checks that returned is a prefix of data, and that the error is
// io.ErrUnexpectedEOF if and only if it is shorter.
func checkStreamEnd(t *testing.T, data, returned []byte, err error) {
	t.Helper()
	if !bytes.HasPrefix(data, returned) {
		t.Fatalf("%q was returned as %q", data, returned)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) != (len(returned) < len(data)) {
		t.Fatalf("%q ended after %q with %v", data, returned, err)
	}
}

// TestLastID checks that Next returns the last ID among the complete events.
func TestLastID(t *testing.T) {
	reader := NewEventReader(bytes.NewReader([]byte("id: 1\ndata: a\n\nevent: x\nid:2 \ndata: id: 9\n\ndata: no id\n\nid: 3\nda")))
	_, last, err := reader.Next()
	if err != nil || string(last) != "2" {
		t.Errorf("last ID %q, error %v, want \"2\"", last, err)
	}
	if _, _, err := reader.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a stream that ends within an event returned %v", err)
	}
}

// endless is an io.Reader whose every Read returns one event.
type endless struct {
	event []byte
}

func (e *endless) Read(p []byte) (int, error) {
	return copy(p, e.event), nil
}

// TestPassingEventsAllocatesNothing checks that Next does not allocate once the buffer is
// large enough.
func TestPassingEventsAllocatesNothing(t *testing.T) {
	reader := NewEventReader(&endless{[]byte("id: 12\ndata: 0123456789012345678901234567890123456789\n\n")})
	allocations := testing.AllocsPerRun(1000, func() {
		if _, _, err := reader.Next(); err != nil {
			t.Fatal(err)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations per event", allocations)
	}
}
