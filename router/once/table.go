package once

import (
	"sync"
	"time"
)

// retryFullTable is when to come back to a full table.
const retryFullTable = 5 * time.Second

// Table remembers the keys that this process has begun to execute. It is safe
// for concurrent use.
type Table struct {
	mu      sync.Mutex
	records *expiring[*Record]
}

// NewTable returns a Table of at most limit records.
func NewTable(limit int) *Table {
	return &Table{records: newExpiring[*Record](limit)}
}

// Begin returns the key's record and whether the caller is the first and has
// to execute the work. A full table is an Overloaded error; a key that is not
// younger than one that was forgotten is a KeyExpired error.
func (t *Table) Begin(key, digest string, now, expires time.Time) (*Record, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.forget(now)
	if record, ok := t.records.get(key); ok {
		return record, false, nil
	}
	record := &Record{
		Key: key, Digest: digest, ExpiresAt: expires,
		cleared: make(chan struct{}), done: make(chan struct{}),
	}
	if err := t.records.add(key, record, expires); err != nil {
		return nil, false, err
	}
	return record, true, nil
}

// Drop forgets a record whose work was given up before it was cleared, so that
// the key may be begun again.
func (t *Table) Drop(record *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.drop(record.Key)
}

// Find returns the key's record, or nil.
func (t *Table) Find(key string) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, _ := t.records.get(key)
	return record
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records.entries)
}
