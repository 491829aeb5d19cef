package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream sends the events after the last one that the caller has received.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, id string, behavior Behavior) {
	out.Header().Set("Content-Type", "text/event-stream")
	out.WriteHeader(http.StatusOK)
	control := http.NewResponseController(out)
	first := 1
	if last, err := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id"))); err == nil {
		first = last + 1
	}
	for event := first; event <= w.Events; event++ {
		if behavior == Truncate && event > first+w.Events/2 {
			fmt.Fprintf(out, "id: %d\ndata: half", event)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if behavior == Trickle {
			w.trickle(out, r, id)
			return
		}
		fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", event, event)
		if control.Flush() != nil {
			w.abandon(id)
			return
		}
		if behavior == StopWithinChunk && event > first+w.Events/2 {
			w.stopWithinChunk(control, id)
			return
		}
		select {
		case <-time.After(w.EventInterval):
		case <-r.Context().Done():
			w.abandon(id)
			return
		}
	}
}

// trickleInterval is the interval between two bytes of Trickle.
const trickleInterval = 50 * time.Millisecond

// trickle sends bytes of a single event until the client closes the connection.
func (w *Worker) trickle(out http.ResponseWriter, r *http.Request, id string) {
	control := http.NewResponseController(out)
	for {
		fmt.Fprint(out, "x")
		if control.Flush() != nil {
			break
		}
		select {
		case <-time.After(trickleInterval):
			continue
		case <-r.Context().Done():
		}
		break
	}
	w.abandon(id)
}

func (w *Worker) abandon(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned[id] = true
}
