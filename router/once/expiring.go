package once

import (
	"container/heap"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// expiring is a bounded map whose entries expire. An entry that is not younger
// than one that was forgotten is refused, so that a clock that is set back
// never revives a forgotten key. It is not safe for concurrent use.
type expiring[V any] struct {
	limit   int
	entries map[string]*expiringEntry[V]
	queue   expiringQueue[V]
	horizon time.Time
}

// expiringEntry is one entry of an expiring map.
type expiringEntry[V any] struct {
	key     string
	value   V
	expires time.Time
	index   int
}

func newExpiring[V any](limit int) *expiring[V] {
	return &expiring[V]{limit: limit, entries: map[string]*expiringEntry[V]{}}
}

// get returns the key's value and whether there is one.
func (e *expiring[V]) get(key string) (V, bool) {
	entry, ok := e.entries[key]
	if !ok {
		var none V
		return none, false
	}
	return entry.value, true
}

// add adds a key that is not in the map. Errors carry code.KeyExpired or
// code.Overloaded.
func (e *expiring[V]) add(key string, value V, expires time.Time) error {
	if !expires.After(e.horizon) {
		return code.New(code.KeyExpired, "keys of this age are forgotten")
	}
	if len(e.entries) >= e.limit {
		return code.New(code.Overloaded, "%d keys are kept", len(e.entries)).After(retryFullTable)
	}
	entry := &expiringEntry[V]{key: key, value: value, expires: expires}
	e.entries[key] = entry
	heap.Push(&e.queue, entry)
	return nil
}

// drop removes a key before it expires.
func (e *expiring[V]) drop(key string) {
	entry, ok := e.entries[key]
	if !ok {
		return
	}
	delete(e.entries, key)
	heap.Remove(&e.queue, entry.index)
}

// forget removes the keys that have expired at now.
func (e *expiring[V]) forget(now time.Time) {
	for len(e.queue) > 0 && e.queue[0].expires.Before(now) {
		entry := heap.Pop(&e.queue).(*expiringEntry[V])
		delete(e.entries, entry.key)
		e.horizon = entry.expires
	}
}
