package gateway

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// eventSource returns one event per read.
type eventSource struct {
	events [][]byte
}

func (s *eventSource) Read(p []byte) (int, error) {
	if len(s.events) == 0 {
		return 0, io.EOF
	}
	count := copy(p, s.events[0])
	s.events = s.events[1:]
	return count, nil
}

func (s *eventSource) Close() error { return nil }

// countingWriter is an http.ResponseWriter that counts the bytes of the body.
type countingWriter struct {
	header http.Header
	bytes  int
}

func (w *countingWriter) Header() http.Header { return w.header }
func (w *countingWriter) WriteHeader(int)     {}
func (w *countingWriter) Flush()              {}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// TestPassedEventAllocatesNothing compares the allocations of a longer and a shorter stream. It
// uses the minimum of several rounds, as other goroutines of the process allocate now and then.
func TestPassedEventAllocatesNothing(t *testing.T) {
	const short, long, rounds = 500, 2500, 8
	f := newTestFleet(t, 1)
	least := 1e9
	for range rounds {
		extra := f.streamAllocations(t, long) - f.streamAllocations(t, short)
		least = min(least, extra/(long-short))
	}
	if least > 0.01 {
		t.Errorf("%.3f allocations for each event", least)
	}
}

// streamAllocations forwards a stream of count events and returns the number of allocations.
func (f *testFleet) streamAllocations(t *testing.T, count int) float64 {
	t.Helper()
	g := f.gateways[0]
	c := f.newChat(t, chatPromptParts)
	writer := &countingWriter{header: http.Header{}}
	c.w, c.arrived = writer, clock.Now()
	pick, err := c.pickEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := c.connect(pick)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	source := &eventSource{}
	size := 0
	for i := range count {
		event := fmt.Appendf(nil, "id: %d\ndata: a piece of an answer\n\n", 1000+i)
		source.events, size = append(source.events, event), size+len(event)
	}
	work := g.table.Begin(pick, &c.request.Prompt, clock.Now())
	defer work.End()
	x := &exchange{call: c, pick: pick, work: work, conn: conn, response: &http.Response{Body: source}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	out := x.forwardStream()
	runtime.ReadMemStats(&after)
	if out.result != resultDone || writer.bytes != size || string(x.lastEventID) != fmt.Sprint(999+count) {
		t.Fatalf("%+v after %d of %d bytes", out, writer.bytes, size)
	}
	return float64(after.Mallocs - before.Mallocs)
}
