package member

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// maxUpdates is the largest number of queued updates in one heartbeat.
	maxUpdates = 6
	// retransmitFactor times the binary logarithm of the fleet size is the number
	// of times that each router passes an update on.
	retransmitFactor = 3
)

// updateQueue holds the updates that still have to be passed on. It is not safe for
// concurrent use.
type updateQueue struct {
	entries map[string]*queuedUpdate
}

// queuedUpdate is an update with the number of heartbeats that carried it.
type queuedUpdate struct {
	update Update
	sends  int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{entries: map[string]*queuedUpdate{}}
}

// add queues an update in place of an older one about the same router. An update
// that does not supersede the queued one is dropped.
func (q *updateQueue) add(update Update) {
	if known, ok := q.entries[update.Address]; ok && !update.supersedes(known.update) {
		return
	}
	q.entries[update.Address] = &queuedUpdate{update: update}
}

// nextBatch returns up to maxUpdates updates, those with the fewest sends first,
// and drops the ones that have reached the limit for a fleet of the given size.
func (q *updateQueue) nextBatch(fleet int) []Update {
	all := make([]*queuedUpdate, 0, len(q.entries))
	for _, entry := range q.entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.update.Address, b.update.Address))
	})
	all = all[:min(len(all), maxUpdates)]
	limit := retransmitFactor * bits.Len(uint(fleet))
	updates := make([]Update, 0, len(all))
	for _, entry := range all {
		updates = append(updates, entry.update)
		entry.sends++
		if entry.sends >= limit {
			delete(q.entries, entry.update.Address)
		}
	}
	return updates
}
