package logsink

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter collects what is written. If blocked is not nil, writes block until it is
// closed.
type blockingWriter struct {
	mu      sync.Mutex
	text    strings.Builder
	blocked chan struct{}
}

func (c *blockingWriter) Write(p []byte) (int, error) {
	if c.blocked != nil {
		<-c.blocked
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(p)
}

func (c *blockingWriter) count(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Count(c.text.String(), part)
}

func line(severity, source, fields string, number int) []byte {
	return fmt.Appendf(nil, "%s0806 22:13:28.273705 9450 a.go:58] \"%s: text\" n=%d %s\n", severity, source, number, fields)
}

// newTestSink returns a Sink and the time that its clock shows, for the test to change.
func newTestSink(out io.Writer) (*Sink, *time.Time) {
	now := time.Unix(1000, 0)
	sink := New(out)
	sink.now = func() time.Time { return now }
	return sink, &now
}

// TestLimitsByPriority floods one second with lines of each priority: a higher priority is dropped
// later, one source can't use up the limit for routine lines, and the number of dropped
// lines is logged in the next second.
func TestLimitsByPriority(t *testing.T) {
	out := &blockingWriter{}
	sink, now := newTestSink(out)
	for i := range 500 {
		sink.Write(line("I", "route", "", i))
	}
	for i := range 30 {
		sink.Write(line("I", "member", "", i))
	}
	for i := range 500 {
		sink.Write(line("I", "route", RetainedMark, i))
	}
	for i := range 500 {
		sink.Write(line("E", "route", "", i))
	}
	*now = now.Add(time.Second)
	sink.Write(line("I", "route", "", 0))
	sink.Close(time.Minute)
	for _, test := range []struct {
		part string
		want int
	}{
		{"I0806", MaxUrgentLines - (MaxUrgentLines - MaxRetainedLines) + 1},
		{`"member: text"`, 30},
		{RetainedMark, MaxRetainedLines - MaxSourceLines - 30},
		{"E0806", MaxUrgentLines - MaxRetainedLines},
		{fmt.Sprintf("log: lines dropped count=%d\n", 1530-MaxUrgentLines), 1},
	} {
		if got := out.count(test.part); got != test.want {
			t.Errorf("%s: %d lines, want %d", test.part, got, test.want)
		}
	}
	if dropped := sink.Dropped(); dropped != 1530-MaxUrgentLines {
		t.Errorf("%d lines were counted as dropped", dropped)
	}
}

// TestBlockedOutputDoesNotBlockWrites writes far more than the buffer holds while the
// output blocks: all writes must return, and the buffer must stay bounded.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	out := &blockingWriter{blocked: make(chan struct{})}
	sink, now := newTestSink(out)
	long := strings.Repeat("x", 1000)
	for i := range 2000 {
		*now = now.Add(time.Second)
		sink.Write(line("E", "route", long, i))
	}
	sink.mu.Lock()
	waiting := len(sink.pending)
	sink.mu.Unlock()
	if waiting > MaxBufferBytes+200 {
		t.Errorf("%d bytes are pending", waiting)
	}
	if sink.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	close(out.blocked)
	sink.Close(time.Minute)
}

func BenchmarkWrite(b *testing.B) {
	sink := New(io.Discard)
	text := line("E", "route", "", 1)
	b.ReportAllocs()
	for b.Loop() {
		sink.Write(text)
	}
	sink.Close(time.Minute)
}
