package once

import (
	"sync"
	"time"
)

// fullTableRetryAfter is the delay after which a caller may retry when a table
// is full.
const fullTableRetryAfter = 5 * time.Second

// Table holds the records of the keys whose work this process has begun to
// execute. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records *expiringMap[*Record]
}

// NewTable returns a Table of at most limit records.
func NewTable(limit int) *Table {
	return &Table{records: newExpiringMap[*Record](limit)}
}

// Begin returns the key's record, and whether the caller is the first and must
// execute the work. It returns an Overloaded error if the table is full, and a
// KeyExpired error if the key expires no later than one that was already
// removed.
func (t *Table) Begin(key, digest string, now, expires time.Time) (*Record, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.removeExpired(now)
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

// Drop removes a record whose work was abandoned before it was cleared, so that
// the work can be started again.
func (t *Table) Drop(record *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.remove(record.Key)
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
