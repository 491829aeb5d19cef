package hold

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/balance"
)

// Table keeps the streams that a router accounts for. A stream without a reader is held
// for the resume timeout and then canceled at its engine. The memory of a stream does not
// depend on the length of its answer. It is safe for concurrent use.
type Table struct {
	// resumeTimeout is how long a stream without a reader is held.
	resumeTimeout time.Duration
	// cancel cancels a stream at its engine. It is called without the lock.
	cancel func(Key)

	mu   sync.Mutex
	byID map[string]*Stream
}

// NewTable returns an empty Table. cancel cancels a stream at its engine; it is called
// without the lock.
func NewTable(resumeTimeout time.Duration, cancel func(Key)) *Table {
	return &Table{resumeTimeout: resumeTimeout, cancel: cancel, byID: map[string]*Stream{}}
}

// Open adds a stream and returns it. reservation may be nil. If the stream exists
// already, Open returns it unchanged and releases reservation.
func (t *Table) Open(key Key, reservation *balance.Reservation) *Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.byID[key.StreamID]; ok {
		release(reservation)
		return known
	}
	s := &Stream{Key: key, reservation: reservation}
	t.byID[key.StreamID] = s
	return s
}

// Find returns the stream with the given ID, or nil.
func (t *Table) Find(streamID string) *Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[streamID]
}

// Len returns the number of streams, including held ones.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Held returns the streams without a reader that are held for the resume timeout.
func (t *Table) Held() []*Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var streams []*Stream
	for _, s := range t.byID {
		if s.holdTimer != nil {
			streams = append(streams, s)
		}
	}
	return streams
}

// Attach makes the caller the stream's reader. An earlier reader is canceled. It
// returns the context and the number of the new reader.
func (t *Table) Attach(ctx context.Context, s *Stream) (context.Context, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.holdTimer != nil {
		s.holdTimer.Stop()
		s.holdTimer = nil
	}
	if s.stopReader != nil {
		s.stopReader(code.New(code.Canceled, "the stream is read by another connection"))
	}
	s.readerID++
	ctx, s.stopReader = context.WithCancelCause(ctx)
	return ctx, s.readerID
}

// IsCurrent reports whether the stream still exists with this reader.
func (t *Table) IsCurrent(s *Stream, reader int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[s.StreamID] == s && s.readerID == reader
}

// Detach ends the reader and holds the stream until another reader attaches or the
// resume timeout has passed.
func (t *Table) Detach(s *Stream, reader int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[s.StreamID] != s || s.readerID != reader || s.stopReader == nil {
		return
	}
	s.stopReader(nil)
	s.stopReader = nil
	klog.Infof("place: stream %s at %s is held for %v, since its reader disconnected.", s.StreamID, s.Engine, t.resumeTimeout)
	s.holdTimer = time.AfterFunc(t.resumeTimeout, func() { t.expire(s, reader) })
}

// expire cancels a held stream that no reader resumed.
func (t *Table) expire(s *Stream, reader int) {
	t.mu.Lock()
	due := t.byID[s.StreamID] == s && s.readerID == reader && s.holdTimer != nil
	if due {
		t.removeLocked(s)
	}
	t.mu.Unlock()
	if due {
		klog.Infof("place: stream %s at %s is canceled, since no reader resumed it.", s.StreamID, s.Engine)
		t.cancel(s.Key)
	}
}

// End removes a stream and releases its reservation.
func (t *Table) End(s *Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[s.StreamID] == s {
		t.removeLocked(s)
	}
}

// removeLocked removes a stream. The caller holds t.mu.
func (t *Table) removeLocked(s *Stream) {
	delete(t.byID, s.StreamID)
	if s.holdTimer != nil {
		s.holdTimer.Stop()
	}
	if s.stopReader != nil {
		s.stopReader(code.New(code.Canceled, "the stream was canceled"))
	}
	release(s.reservation)
}

// release releases a reservation, which may be nil.
func release(reservation *balance.Reservation) {
	if reservation != nil {
		reservation.Release()
	}
}
