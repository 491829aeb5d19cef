package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/news"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Work is one request in progress at an endpoint. It is not safe for concurrent
// use.
type Work struct {
	table   *Table
	id      string
	reading int
	// unread are the shared parts that the endpoint reads for this request.
	unread []traffic.Part
	ended  bool
}

// Begin counts a request that is sent to the picked endpoint, and notes where
// its prompt parts go. The caller must call End.
func (t *Table) Begin(pick Pick, prompt *traffic.Prompt, now clock.Boot) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := pick.Endpoint.ID
	known := t.state(id)
	known.own++
	known.sent++
	known.reading += pick.PrefillTokens
	shared := max(1, len(prompt.Parts)-1)
	for i, part := range prompt.Parts {
		if t.parts.note(part.ID, id, now) && i < shared {
			t.tell(news.PartLocation{Hash: part.ID, Endpoint: id})
		}
	}
	work := &Work{table: t, id: id, reading: pick.PrefillTokens}
	if pick.MissingTokens > 0 {
		work.unread = prompt.Parts[:min(shared, len(prompt.Parts))]
		work.setDue(now, pick.DelayMS)
	}
	return work
}

// latestRead is how long after its estimate a prompt counts as read at last, as a
// multiple of the estimate and beyond that.
const (
	latestReadFactor = 2.0
	latestReadMS     = 50.0
)

// setDue notes until when the parts that were new at the endpoint may not be read
// yet.
func (w *Work) setDue(now clock.Boot, delayMS float64) {
	due := now.Add(time.Duration((latestReadFactor*delayMS + latestReadMS) * float64(time.Millisecond)))
	for _, part := range w.unread {
		if at := w.table.parts.find(part.ID, w.id); at != nil && at.since == now {
			at.due = due
		}
	}
}

// tell lets the next report tell of a place, if there is room.
func (t *Table) tell(at news.PartLocation) {
	if len(t.fresh) < freshLimit {
		t.fresh = append(t.fresh, at)
	}
}

// Read notes that the endpoint has read the prompt.
func (w *Work) PrefillDone() {
	if w.reading == 0 && w.unread == nil {
		return
	}
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.read()
}

func (w *Work) read() {
	if known, ok := w.table.states[w.id]; ok {
		known.reading = max(0, known.reading-w.reading)
	}
	for _, part := range w.unread {
		if at := w.table.parts.find(part.ID, w.id); at != nil {
			at.due = 0
		}
	}
	w.reading, w.unread = 0, nil
}

// End counts the request off. Further calls do nothing.
func (w *Work) End() {
	if w.ended {
		return
	}
	w.ended = true
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.read()
	if known, ok := w.table.states[w.id]; ok {
		known.own = max(0, known.own-1)
	}
}
