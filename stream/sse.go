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
	// stall is the timeout of each write.
	stall time.Duration
}

// NewWriter sends the header of an event stream and returns its Writer. A write fails if
// the client does not accept it within stall.
func NewWriter(w http.ResponseWriter, stall time.Duration) *Writer {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &Writer{w: w, control: http.NewResponseController(w), stall: stall}
}

// WriteEvent sends one event with data encoded as JSON. An empty name sends no event
// field, a negative id no id field.
func (s *Writer) WriteEvent(name string, id int, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return err
	}
	s.setWriteDeadline()
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

// setWriteDeadline sets the deadline of the next write. Responses that do not support
// deadlines get none.
func (s *Writer) setWriteDeadline() {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.stall))
}

// WriteKeepAlive sends a comment, which shows the client that the answer is still in
// progress.
func (s *Writer) WriteKeepAlive() error {
	s.setWriteDeadline()
	if _, err := fmt.Fprint(s.w, ": alive\n\n"); err != nil {
		return err
	}
	return s.control.Flush()
}

// Close sends the final event and clears the write deadline of the connection.
func (s *Writer) Close() error {
	defer s.control.SetWriteDeadline(time.Time{})
	s.setWriteDeadline()
	if _, err := fmt.Fprint(s.w, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return s.control.Flush()
}
