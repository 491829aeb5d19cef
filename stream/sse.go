package stream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Writer writes server-sent events. It is not safe for concurrent use.
type Writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
}

// NewWriter sends the header of an event stream and returns its Writer. A write
// that the reader holds back for longer than stall fails.
func NewWriter(w http.ResponseWriter, stall time.Duration) *Writer {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &Writer{w: w, control: http.NewResponseController(w), stall: stall}
}

// Event sends one event. An empty name means an unnamed event; a negative id
// means none.
func (s *Writer) WriteEvent(name string, id int, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return err
	}
	s.limitWrite()
	if name != "" {
		fmt.Fprintf(s.w, "event: %s\n", name)
	}
	if id >= 0 {
		fmt.Fprintf(s.w, "id: %d\n", id)
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	return s.control.Flush()
}

// limitWrite bounds the time of the next write. A response without deadlines
// keeps none.
func (s *Writer) limitWrite() {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.stall))
}

// Alive sends a comment, so that the reader knows that the answer goes on.
func (s *Writer) WriteKeepAlive() error {
	s.limitWrite()
	if _, err := fmt.Fprint(s.w, ": alive\n\n"); err != nil {
		return err
	}
	return s.control.Flush()
}

// Close sends the closing event.
func (s *Writer) Close() error {
	defer s.control.SetWriteDeadline(time.Time{})
	s.limitWrite()
	if _, err := fmt.Fprint(s.w, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return s.control.Flush()
}
