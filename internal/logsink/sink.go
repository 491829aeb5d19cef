package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of a Sink.
const (
	// BufferLimit bounds the bytes that wait to be written.
	MaxBufferBytes = 256 << 10
	// KindLimit is the number of lines of one kind in a second beyond which
	// routine lines are left out.
	MaxSourceLines = 60
	// RoutineLimit, LastingLimit and UrgentLimit are the numbers of lines in a
	// second beyond which lines of a class are left out.
	MaxRoutineLines  = 120
	MaxRetainedLines = 200
	MaxUrgentLines   = 300
)

// Sink is an io.Writer whose Write never blocks. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	now func() time.Time

	mu            sync.Mutex
	ready         *sync.Cond
	pending       []byte
	spare         []byte
	second        int64
	linesInSecond int
	sourceLines   map[string]int
	omitted       int
	closed        bool
	finished      chan struct{}

	dropped atomic.Int64
}

// New returns a Sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, sourceLines: map[string]int{}, finished: make(chan struct{})}
	s.ready = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Dropped returns the number of lines that were left out.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Write takes one line. It always reports success.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceSecond()
	if !s.admits(line) {
		s.omitted++
		s.dropped.Add(1)
		return len(line), nil
	}
	s.linesInSecond++
	s.pending = append(s.pending, line...)
	s.ready.Signal()
	return len(line), nil
}

// admits reports whether there is room for a line in the buffer and in the
// second.
func (s *Sink) admits(line []byte) bool {
	if s.closed || len(s.pending)+len(line) > MaxBufferBytes {
		return false
	}
	switch priorityOf(line) {
	case urgent:
		return s.linesInSecond < MaxUrgentLines
	case retained:
		return s.linesInSecond < MaxRetainedLines
	}
	source := sourceOf(line)
	if s.linesInSecond >= MaxRoutineLines || s.sourceLines[source] >= MaxSourceLines {
		return false
	}
	s.sourceLines[source]++
	return true
}

// turn begins a new second, with a line on what was left out in the last one.
func (s *Sink) advanceSecond() {
	second := s.now().Unix()
	if second == s.second {
		return
	}
	if s.omitted > 0 && len(s.pending) < MaxBufferBytes {
		s.pending = fmt.Appendf(s.pending, "log: lines were left out count=%d\n", s.omitted)
		s.omitted = 0
	}
	s.second, s.linesInSecond = second, 0
	clear(s.sourceLines)
}

// Close writes what is pending, for at most the given time, and ends the writer.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.ready.Signal()
	s.mu.Unlock()
	select {
	case <-s.finished:
	case <-time.After(timeout):
	}
}

func (s *Sink) run() {
	defer close(s.finished)
	for {
		batch, ok := s.nextBatch()
		if !ok {
			return
		}
		if _, err := s.out.Write(batch); err != nil {
			// There is no better place to tell of it.
			s.dropped.Add(1)
		}
	}
}

// take waits for pending bytes; ok is false when the sink is closed and empty.
func (s *Sink) nextBatch() (batch []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) == 0 && !s.closed {
		s.ready.Wait()
	}
	if len(s.pending) == 0 {
		return nil, false
	}
	batch = s.pending
	s.pending, s.spare = s.spare[:0], batch
	return batch, true
}
