package choice

import (
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Work is one request in progress at an endpoint. It is not safe for concurrent
// use.
type Work struct {
	table         *Table
	id            string
	prefillTokens int
	// began is when the request was sent, backlogTokens the number of tokens that the
	// endpoint then had to prefill. timed reports whether the delay has been recorded.
	began         clock.Boot
	backlogTokens int
	timed         bool
	// prefillParts are the shared parts that the endpoint prefills for this request.
	prefillParts []traffic.Part
	ended        bool
}

// Begin counts a request that is sent to the picked endpoint and records that the
// endpoint gets its prompt parts. The caller must call End.
func (t *Table) Begin(pick Pick, prompt *traffic.Prompt, now clock.Boot) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := pick.Endpoint.ID
	st := t.state(id)
	st.ownRequests++
	st.sentSinceReport++
	st.warmUp.take(now)
	st.newest.add(now)
	st.prefillTokens += pick.PrefillTokens
	shared := max(1, len(prompt.Parts)-1)
	for i, part := range prompt.Parts {
		if t.partIndex.record(part.ID, id, now) && i < shared {
			t.announce(gossip.PartLocation{Hash: part.ID, Endpoint: id})
		}
	}
	work := &Work{table: t, id: id, prefillTokens: pick.PrefillTokens, backlogTokens: pick.BacklogTokens, began: now}
	if pick.MissingTokens > 0 {
		work.prefillParts = prompt.Parts[:min(shared, len(prompt.Parts))]
		work.setPrefillDue(now, pick.DelayMS)
	}
	return work
}

// A prompt counts as prefilled at the latest after prefillDueFactor times its estimated
// delay plus prefillDueMarginMS milliseconds.
const (
	prefillDueFactor   = 2.0
	prefillDueMarginMS = 50.0
)

// setPrefillDue sets prefillDue of the parts that are new at the endpoint. The caller
// holds the table's lock.
func (w *Work) setPrefillDue(now clock.Boot, delayMS float64) {
	due := now.Add(time.Duration((prefillDueFactor*delayMS + prefillDueMarginMS) * float64(time.Millisecond)))
	for _, part := range w.prefillParts {
		if at := w.table.partIndex.find(part.ID, w.id); at != nil && at.sentAt == now {
			at.prefillDue = due
		}
	}
}

// announce adds a location to the next report, if there is room. The caller holds t.mu.
func (t *Table) announce(at gossip.PartLocation) {
	if len(t.announcements) < maxAnnouncements {
		t.announcements = append(t.announcements, at)
	}
}

// RecordDelay records that the endpoint began its answer. Further calls do nothing.
func (w *Work) RecordDelay(now clock.Boot) {
	if w.timed {
		return
	}
	w.timed = true
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	st, ok := w.table.states[w.id]
	if !ok || st.endpoint == nil {
		return
	}
	took := now.Sub(w.began)
	model := w.table.delayModel(st.endpoint.Service)
	if expectedMS := model.ExpectMS(float64(w.backlogTokens)); model.Learned() && expectedMS > 0 {
		ratio := float64(took) / float64(time.Millisecond) / expectedMS
		st.outcomes.RecordDelay(ratio, now)
		st.ownOutcomes.RecordDelay(ratio, now)
	}
	model.Observe(w.backlogTokens, took, now)
}

// PrefillDone records that the endpoint has prefilled the prompt. Further calls do
// nothing.
func (w *Work) PrefillDone() {
	if w.prefillTokens == 0 && w.prefillParts == nil {
		return
	}
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.prefillDone()
}

// prefillDone implements PrefillDone. The caller holds the table's lock.
func (w *Work) prefillDone() {
	if st, ok := w.table.states[w.id]; ok {
		st.prefillTokens = max(0, st.prefillTokens-w.prefillTokens)
	}
	for _, part := range w.prefillParts {
		if at := w.table.partIndex.find(part.ID, w.id); at != nil {
			at.prefillDue = 0
		}
	}
	w.prefillTokens, w.prefillParts = 0, nil
}

// End counts the request as finished. Further calls do nothing.
func (w *Work) End() {
	if w.ended {
		return
	}
	w.ended = true
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	w.prefillDone()
	if st, ok := w.table.states[w.id]; ok {
		st.ownRequests = max(0, st.ownRequests-1)
	}
}
