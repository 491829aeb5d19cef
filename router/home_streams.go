package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/balance"
)

// homeStreams holds the streams that this router accounts for. A stream without a
// reader is held for the resume timeout and then canceled at its engine. The memory
// of a stream does not depend on the length of its answer. It is safe for
// concurrent use.
type homeStreams struct {
	resumeTimeout time.Duration
	cancel        func(streamKey)

	mu   sync.Mutex
	byID map[string]*homeStream
}

// newHomeStreams returns an empty homeStreams. cancel cancels a stream at its
// engine; it is called without the lock.
func newHomeStreams(resumeTimeout time.Duration, cancel func(streamKey)) *homeStreams {
	return &homeStreams{resumeTimeout: resumeTimeout, cancel: cancel, byID: map[string]*homeStream{}}
}

// open adds a stream and returns it. reservation may be nil. If the stream exists
// already, open returns it unchanged and releases reservation.
func (h *homeStreams) open(key streamKey, reservation *balance.Reservation) *homeStream {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.byID[key.StreamID]; ok {
		release(reservation)
		return known
	}
	s := &homeStream{streamKey: key, reservation: reservation}
	h.byID[key.StreamID] = s
	return s
}

// find returns the stream with the given ID, or nil.
func (h *homeStreams) find(streamID string) *homeStream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[streamID]
}

// len returns the number of streams, including held ones.
func (h *homeStreams) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byID)
}

// heldStreams returns the streams without a reader that are held for the resume
// timeout.
func (h *homeStreams) heldStreams() []*homeStream {
	h.mu.Lock()
	defer h.mu.Unlock()
	var streams []*homeStream
	for _, s := range h.byID {
		if s.holdTimer != nil {
			streams = append(streams, s)
		}
	}
	return streams
}

// attach makes the caller the stream's reader. An earlier reader is canceled. It
// returns the context and the number of the new reader.
func (h *homeStreams) attach(ctx context.Context, s *homeStream) (context.Context, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
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

// isCurrent reports whether the stream still exists with this reader.
func (h *homeStreams) isCurrent(s *homeStream, reader int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[s.StreamID] == s && s.readerID == reader
}

// detach ends the reader and holds the stream until another reader attaches or the
// resume timeout has passed.
func (h *homeStreams) detach(s *homeStream, reader int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID[s.StreamID] != s || s.readerID != reader || s.stopReader == nil {
		return
	}
	s.stopReader(nil)
	s.stopReader = nil
	klog.Infof("place: stream %s at %s is held for %v, since its reader disconnected.", s.StreamID, s.Engine, h.resumeTimeout)
	s.holdTimer = time.AfterFunc(h.resumeTimeout, func() { h.expire(s, reader) })
}

// expire cancels a held stream that no reader resumed.
func (h *homeStreams) expire(s *homeStream, reader int) {
	h.mu.Lock()
	due := h.byID[s.StreamID] == s && s.readerID == reader && s.holdTimer != nil
	if due {
		h.removeLocked(s)
	}
	h.mu.Unlock()
	if due {
		klog.Infof("place: stream %s at %s is canceled, since no reader resumed it.", s.StreamID, s.Engine)
		h.cancel(s.streamKey)
	}
}

// end removes a stream and releases its reservation.
func (h *homeStreams) end(s *homeStream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID[s.StreamID] == s {
		h.removeLocked(s)
	}
}

// removeLocked removes a stream. The caller holds h.mu.
func (h *homeStreams) removeLocked(s *homeStream) {
	delete(h.byID, s.StreamID)
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
