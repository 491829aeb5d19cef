package once

import (
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
)

// retryFullTable is when to come back to a full table.
const retryFullTable = 5 * time.Second

// Table remembers the keys that this process has begun to execute. It is safe
// for concurrent use.
type Table struct {
	limit int

	mu      sync.Mutex
	records map[string]*Record
	order   []*Record
}

// NewTable returns a Table of at most limit records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, records: map[string]*Record{}}
}

// Begin returns the key's record and whether the caller is the first and has
// to execute the work. A key with another digest is a KeyReused error; a full
// table is an Overloaded error, and the work was not run.
func (t *Table) Begin(key, digest string, now, expires time.Time) (*Record, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	if record, ok := t.records[key]; ok {
		if record.Digest != digest {
			return nil, false, code.New(code.KeyReused, "the key was used with another body")
		}
		return record, false, nil
	}
	if len(t.records) >= t.limit {
		return nil, false, code.New(code.Overloaded, "%d outcomes are kept", len(t.records)).After(retryFullTable)
	}
	record := &Record{Key: key, Digest: digest, Expires: expires, done: make(chan struct{})}
	t.records[key] = record
	t.order = append(t.order, record)
	return record, true, nil
}

// Find returns the key's record, or nil.
func (t *Table) Find(key string) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[key]
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// forget drops records that have expired. Records expire about in the order
// in which they were made.
func (t *Table) forget(now time.Time) {
	for len(t.order) > 0 && t.order[0].Expires.Before(now) {
		delete(t.records, t.order[0].Key)
		t.order = t.order[1:]
	}
}
