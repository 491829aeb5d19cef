package once

import (
	"container/heap"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// expiringMap is a bounded map whose entries expire. It refuses entries that
// expire no later than one that was already removed, so that a removed key can't
// be added again when the clock is set back. It is not safe for concurrent use.
type expiringMap[V any] struct {
	limit   int
	entries map[string]*expiringEntry[V]
	queue   expiringQueue[V]
	// horizon is the expiry of the last removed entry.
	horizon time.Time
}

// expiringEntry is one entry of an expiringMap. index is its position in the
// queue.
type expiringEntry[V any] struct {
	key       string
	value     V
	expiresAt time.Time
	index     int
}

func newExpiringMap[V any](limit int) *expiringMap[V] {
	return &expiringMap[V]{limit: limit, entries: map[string]*expiringEntry[V]{}}
}

// get returns the key's value and whether there is one.
func (e *expiringMap[V]) get(key string) (V, bool) {
	entry, ok := e.entries[key]
	if !ok {
		var none V
		return none, false
	}
	return entry.value, true
}

// add adds a key that is not in the map. Errors carry code.KeyExpired if the
// entry expires too early or code.Overloaded if the map is full.
func (e *expiringMap[V]) add(key string, value V, expires time.Time) error {
	if !expires.After(e.horizon) {
		return code.New(code.KeyExpired, "keys of this age are no longer remembered")
	}
	if len(e.entries) >= e.limit {
		return code.New(code.Overloaded, "the table of keys is full with %d keys", len(e.entries)).After(fullTableRetryAfter)
	}
	entry := &expiringEntry[V]{key: key, value: value, expiresAt: expires}
	e.entries[key] = entry
	heap.Push(&e.queue, entry)
	return nil
}

// remove removes a key before it expires.
func (e *expiringMap[V]) remove(key string) {
	entry, ok := e.entries[key]
	if !ok {
		return
	}
	delete(e.entries, key)
	heap.Remove(&e.queue, entry.index)
}

// removeExpired removes the keys that have expired at now.
func (e *expiringMap[V]) removeExpired(now time.Time) {
	for len(e.queue) > 0 && e.queue[0].expiresAt.Before(now) {
		entry := heap.Pop(&e.queue).(*expiringEntry[V])
		delete(e.entries, entry.key)
		e.horizon = entry.expiresAt
	}
}
