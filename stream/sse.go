package stream

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Writer writes server-sent events. It is not safe for concurrent use.
type Writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// NewWriter sends the header of an event stream and returns its Writer.
func NewWriter(w http.ResponseWriter) *Writer {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &Writer{w: w, control: http.NewResponseController(w)}
}

// Event sends one event. An empty name means an unnamed event; a negative id
// means none.
func (s *Writer) Event(name string, id int, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return err
	}
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

// Close sends the closing event.
func (s *Writer) Close() error {
	if _, err := fmt.Fprint(s.w, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return s.control.Flush()
}
