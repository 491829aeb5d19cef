package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferLimit bounds the bytes that wait to be written.
	bufferLimit = 256 << 10
	// lineLimit is the number of lines in one second beyond which lines are left
	// out; urgentLimit is the same for lines that matter most.
	lineLimit   = 150
	urgentLimit = 400
)

// Sink is an io.Writer whose Write never blocks. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	now func() time.Time

	mu      sync.Mutex
	ready   *sync.Cond
	pending []byte
	spare   []byte
	second  int64
	lines   int
	omitted int
	closed  bool
	written chan struct{}

	dropped atomic.Int64
}

// New returns a Sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, written: make(chan struct{})}
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
	s.turn()
	limit := lineLimit
	if urgent(line) {
		limit = urgentLimit
	}
	if s.closed || s.lines >= limit || len(s.pending)+len(line) > bufferLimit {
		s.omitted++
		s.dropped.Add(1)
		return len(line), nil
	}
	s.lines++
	s.pending = append(s.pending, line...)
	s.ready.Signal()
	return len(line), nil
}

// urgent reports whether a line tells of an error.
func urgent(line []byte) bool {
	return len(line) > 0 && (line[0] == 'E' || line[0] == 'W' || line[0] == 'F')
}

// turn begins a new second, with a line on what was left out in the last one.
func (s *Sink) turn() {
	second := s.now().Unix()
	if second == s.second {
		return
	}
	if s.omitted > 0 && len(s.pending) < bufferLimit {
		s.pending = fmt.Appendf(s.pending, "log: lines were left out count=%d\n", s.omitted)
		s.omitted = 0
	}
	s.second, s.lines = second, 0
}

// Close writes what is pending, for at most the given time, and ends the writer.
func (s *Sink) Close(wait time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.ready.Signal()
	s.mu.Unlock()
	select {
	case <-s.written:
	case <-time.After(wait):
	}
}

func (s *Sink) run() {
	defer close(s.written)
	for {
		batch, ok := s.take()
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
func (s *Sink) take() (batch []byte, ok bool) {
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
