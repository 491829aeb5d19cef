package router

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/hold"
)

// lineWriter writes the lines of an answer to another router, and an empty line
// while there is none, so that the reader can tell a lost router from a slow
// engine. It is safe for concurrent use.
type lineWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	stallTimeout time.Duration

	mu sync.Mutex
	// started reports whether anything was written.
	started bool
	// wroteSinceTick reports whether a line was written since the last keep-alive
	// tick.
	wroteSinceTick bool
}

// newLineWriter returns a lineWriter whose writes fail when the reader blocks them
// for longer than stallTimeout.
func newLineWriter(w http.ResponseWriter, stallTimeout time.Duration) *lineWriter {
	return &lineWriter{w: w, control: http.NewResponseController(w), stallTimeout: stallTimeout}
}

// line writes one line.
func (l *lineWriter) line(line endpoint.Line) error {
	raw, err := json.Marshal(line)
	if err != nil {
		return code.Wrap(err, code.InternalFault, "the line can't be encoded")
	}
	return l.write(append(raw, '\n'))
}

// write writes raw and flushes it.
func (l *lineWriter) write(raw []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeLocked(raw)
}

// writeLocked is write for callers that hold l.mu.
func (l *lineWriter) writeLocked(raw []byte) error {
	l.started, l.wroteSinceTick = true, true
	_ = l.control.SetWriteDeadline(time.Now().Add(l.stallTimeout))
	if _, err := l.w.Write(raw); err != nil {
		return err
	}
	return l.control.Flush()
}

// keepAlive writes an empty line in each period without another line. The returned
// function stops it and waits for its end.
func (l *lineWriter) keepAlive(period time.Duration) (stop func()) {
	var writing sync.WaitGroup
	done := make(chan struct{})
	writing.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				l.writeKeepAlive()
			}
		}
	})
	return func() {
		close(done)
		writing.Wait()
	}
}

// writeKeepAlive writes an empty line unless another line was written since the
// last call. It does not wait for a write that the reader blocks.
func (l *lineWriter) writeKeepAlive() {
	if !l.mu.TryLock() {
		return
	}
	defer l.mu.Unlock()
	if !l.wroteSinceTick {
		_ = l.writeLocked([]byte("\n"))
	}
	l.wroteSinceTick = false
}

// fail ends the answer with err: as an HTTP error if nothing was written yet,
// otherwise as the last line.
func (l *lineWriter) fail(key hold.Key, err error) {
	l.mu.Lock()
	started := l.started
	l.mu.Unlock()
	if !started {
		jsonhttp.WriteError(l.w, err)
		return
	}
	_ = l.line(endpoint.Line{RequestID: key.RequestID, StreamID: key.StreamID, Error: code.Of(err)})
}

// close clears the write deadline of the connection, which may be reused.
func (l *lineWriter) close() {
	_ = l.control.SetWriteDeadline(time.Time{})
}
