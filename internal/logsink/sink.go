package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// The limits of a Sink. A line over a limit is dropped.
const (
	// MaxBufferBytes bounds the pending bytes.
	MaxBufferBytes = 256 << 10
	// MaxSourceLines bounds the routine lines of one source in a second.
	MaxSourceLines = 60
	// MaxRoutineLines, MaxRetainedLines and MaxUrgentLines are the limits for a line of
	// each priority. They apply to the number of lines of all priorities in a second.
	MaxRoutineLines  = 120
	MaxRetainedLines = 200
	MaxUrgentLines   = 300
)

// Sink is an io.Writer whose Write never blocks on output. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	// now is time.Now, except in tests.
	now func() time.Time

	mu sync.Mutex
	// ready signals run that there are pending bytes or that the Sink was closed.
	ready *sync.Cond
	// pending are the bytes to write; spare is the buffer of the last batch, for reuse.
	pending []byte
	spare   []byte
	// second is the current Unix second. linesInSecond and sourceLines count the lines
	// queued in it, sourceLines only routine lines.
	second        int64
	linesInSecond int
	sourceLines   map[string]int
	// unreported is the number of dropped lines that were not logged yet.
	unreported int
	closed     bool
	// finished is closed when run has returned.
	finished chan struct{}

	// dropped is the total number of dropped lines.
	dropped atomic.Int64
}

// New returns a Sink that writes to out. Its goroutine runs until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, sourceLines: map[string]int{}, finished: make(chan struct{})}
	s.ready = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Dropped returns the number of dropped lines; a failed write to the output counts as one.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Write queues or drops one line. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceSecond()
	if !s.admits(line) {
		s.unreported++
		s.dropped.Add(1)
		return len(line), nil
	}
	s.linesInSecond++
	s.pending = append(s.pending, line...)
	s.ready.Signal()
	return len(line), nil
}

// admits reports whether the buffer and the limits for this second have room for a line,
// and counts it for its source. The caller holds the lock.
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

// advanceSecond resets the counters at the first call in a new second, and queues a line
// with the number of lines dropped since the last such line. The caller holds the lock.
func (s *Sink) advanceSecond() {
	second := s.now().Unix()
	if second == s.second {
		return
	}
	if s.unreported > 0 && len(s.pending) < MaxBufferBytes {
		s.pending = fmt.Appendf(s.pending, "log: lines dropped count=%d\n", s.unreported)
		s.unreported = 0
	}
	s.second, s.linesInSecond = second, 0
	clear(s.sourceLines)
}

// Close writes the pending lines and ends the goroutine. It returns after timeout even if
// lines are still pending.
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
			// The error can't be logged: this is the log's output.
			s.dropped.Add(1)
		}
	}
}

// nextBatch waits for pending bytes and returns them. They are valid until the next call.
// ok is false once the Sink is closed and empty.
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
