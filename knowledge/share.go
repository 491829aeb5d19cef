package knowledge

import (
	"context"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// Share is what one VM tells another of its knowledge.
type Share struct {
	// Incarnation identifies the process; numbers of changes of another one mean
	// nothing.
	Incarnation int64 `json:"incarnation"`
	// Next is the number from which to ask on.
	Next int64 `json:"next"`
	// Whole tells that Items are everything, not changes.
	Whole bool            `json:"whole,omitempty"`
	Items []platform.Item `json:"items,omitempty"`
	// Revision is the store's revision that the sender knows everything up to.
	Revision int64 `json:"revision"`
	// AgeMS is how old the sender's knowledge may be when it answers, in
	// milliseconds; -1 if it has none.
	AgeMS int64 `json:"age_ms"`
	// WaitedMS is how long the sender waited before it answered, in milliseconds.
	WaitedMS int64 `json:"waited_ms,omitempty"`
}

// Await waits until there is a change with a number of from or more, or the
// knowledge was confirmed anew, until ctx ends.
func (t *Tracker) Await(ctx context.Context, from int64) {
	began := t.confirmed.Load()
	for {
		t.mu.Lock()
		news, number := t.news, t.feed.next()
		t.mu.Unlock()
		if number != from || t.confirmed.Load() != began {
			return
		}
		select {
		case <-news:
		case <-ctx.Done():
			return
		}
	}
}

// Share returns the changes from a number on, or everything if they can't be
// told.
func (t *Tracker) Share(incarnation, asked, from int64, now clock.Boot) Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	share := Share{Incarnation: incarnation, Next: t.feed.next(), Revision: t.revision, AgeMS: -1}
	if at, ok := t.Confirmed(); ok {
		share.AgeMS = now.Sub(at).Milliseconds() + 1
	}
	if asked == incarnation {
		if items, ok := t.feed.since(from); ok {
			share.Items = items
			return share
		}
	}
	share.Whole = true
	if t.raw.Revision > 0 {
		share.Items = append(share.Items, t.raw)
	}
	for _, entry := range t.entries {
		share.Items = append(share.Items, entry)
	}
	return share
}

// update turns a share into an update. asked is when the question was sent.
func (s *Share) update(asked clock.Boot) Update {
	update := Update{Items: s.Items, Whole: s.Whole, Revision: s.Revision, Decided: true}
	if s.AgeMS >= 0 {
		// The sender was asked after asked and answered WaitedMS later at least.
		update.Confirmed = asked.Add(time.Duration(s.WaitedMS-s.AgeMS) * time.Millisecond)
	}
	return update
}
