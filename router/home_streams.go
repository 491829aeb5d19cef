package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/balance"
)

// homeStreams keeps the streams that this router counts. A stream that nobody
// reads is held for the resume time and then canceled at its engine. The
// memory of a stream does not depend on its length. It is safe for concurrent
// use.
type homeStreams struct {
	resumeTimeout time.Duration
	cancel        func(streamKey)

	mu   sync.Mutex
	byID map[string]*homeStream
}

// newHomeStreams returns an empty table. cancel ends a stream at its engine.
func newHomeStreams(resume time.Duration, cancel func(streamKey)) *homeStreams {
	return &homeStreams{resumeTimeout: resume, cancel: cancel, byID: map[string]*homeStream{}}
}

// open adds a stream and returns it. reservation may be nil. A stream that is
// there already is returned as it is, and the reservation is released.
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

// find returns a stream, or nil.
func (h *homeStreams) find(streamID string) *homeStream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[streamID]
}

// len returns the number of streams, held ones included.
func (h *homeStreams) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byID)
}

// held returns the streams that nobody reads.
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

// attach makes the caller the stream's reader in place of an earlier one, which
// ends. It returns the reader's context and number.
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

// current reports whether the stream still has this reader.
func (h *homeStreams) isCurrent(s *homeStream, reader int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[s.StreamID] == s && s.readerID == reader
}

// leave ends the reader and holds the stream until another one comes, or the
// resume time has passed.
func (h *homeStreams) detach(s *homeStream, reader int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID[s.StreamID] != s || s.readerID != reader || s.stopReader == nil {
		return
	}
	s.stopReader(nil)
	s.stopReader = nil
	klog.Infof("place: stream %s at %s is held for %v, since its reader is lost.", s.StreamID, s.Engine, h.resumeTimeout)
	s.holdTimer = time.AfterFunc(h.resumeTimeout, func() { h.expire(s, reader) })
}

// expire cancels a held stream to which nobody came back.
func (h *homeStreams) expire(s *homeStream, reader int) {
	h.mu.Lock()
	due := h.byID[s.StreamID] == s && s.readerID == reader && s.holdTimer != nil
	if due {
		h.removeLocked(s)
	}
	h.mu.Unlock()
	if due {
		klog.Infof("place: stream %s at %s is canceled, since nobody came back.", s.StreamID, s.Engine)
		h.cancel(s.streamKey)
	}
}

// end forgets a stream and releases its reservation.
func (h *homeStreams) end(s *homeStream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID[s.StreamID] == s {
		h.removeLocked(s)
	}
}

// remove needs the lock.
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

func release(reservation *balance.Reservation) {
	if reservation != nil {
		reservation.Release()
	}
}
