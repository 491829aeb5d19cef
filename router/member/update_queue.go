package member

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// maxUpdates bounds the updates of one message.
	maxUpdates = 6
	// sendFactor multiplies the logarithm of the fleet's size: so often each
	// router passes an update on.
	sendFactor = 3
)

// updateQueue holds the updates that still have to be passed on. It is not
// safe for concurrent use.
type updateQueue struct {
	entries map[string]*queued
}

type queued struct {
	update Update
	sent   int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{entries: map[string]*queued{}}
}

// add queues an update in place of an older one of the same router.
func (q *updateQueue) add(update Update) {
	if known, ok := q.entries[update.Address]; ok && !update.beats(known.update) {
		return
	}
	q.entries[update.Address] = &queued{update: update}
}

// take returns the updates that were sent least often, for a fleet of the
// given size.
func (q *updateQueue) take(fleet int) []Update {
	all := make([]*queued, 0, len(q.entries))
	for _, entry := range q.entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.Address, b.update.Address))
	})
	all = all[:min(len(all), maxUpdates)]
	limit := sendFactor * bits.Len(uint(fleet))
	updates := make([]Update, 0, len(all))
	for _, entry := range all {
		updates = append(updates, entry.update)
		entry.sent++
		if entry.sent >= limit {
			delete(q.entries, entry.update.Address)
		}
	}
	return updates
}
