package hosted

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's key-value store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	changed chan struct{}
	items   map[string]item
	history []item
	// compactedRevision is the revision at the last call of Compact: older changes are no
	// longer known.
	compactedRevision int64
	revision          int64
	// era rises by one with each call of Restore.
	era      int64
	fault    Fault
	pageSize int
	// cutAfter is after which wait watches are cut, 0 if none is.
	cutAfter time.Duration
	calls    int
	// rangeCalls counts the range calls among calls.
	rangeCalls int
	// configuration is what the operator published last, nil before that. registrations are
	// the endpoints by ID. Restore leaves both: they belong to the writers.
	configuration []byte
	registrations map[string]registration
	// domains are the failure domains of endpoints by address, where they are not defaultDomain.
	domains map[string]string
	// lastBirthMS is the time of the last start of an endpoint.
	lastBirthMS int64
}

// pageSize is the default number of items per page of a range.
const pageSize = 20

const (
	// eraHeader is the header of all responses with the store's era.
	eraHeader = "Store-Era"
	// firstEra is the era of a store that was never restored.
	firstEra = 1
)

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), items: map[string]item{}, revision: 1, era: firstEra, pageSize: pageSize, registrations: map[string]registration{}, domains: map[string]string{}}
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value)
}

// put does the same as Put. The caller must hold s.mu.
func (s *Store) put(key string, value []byte) int64 {
	s.revision++
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = written
	s.append(written)
	return s.revision
}

// Delete deletes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// remove does the same as Delete. The caller must hold s.mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

// append records a change. The caller must hold s.mu.
func (s *Store) append(change item) {
	s.history = append(s.history, change)
	s.wake()
}

// wake lets all waiting watches look at the store again. The caller must hold s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the change history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
}

// CutWatches cuts watches that have waited for a time from now on, 0 for none.
func (s *Store) CutWatches(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = after
}

// SetFault sets the fault of all further calls. It also applies to waiting watches.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// RangeCalls returns the number of range calls so far.
func (s *Store) RangeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rangeCalls
}

// ServeHTTP serves range and watch calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.setEra(w)
	s.mu.Unlock()
	if !applyFault(fault, w, r) {
		return
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// setEra sets the header of a response with the store's era. The caller must hold s.mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rangeCalls++
	s.setEra(w)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var found []item
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > s.pageSize
	writeJSON(w, map[string]any{"items": found[:min(len(found), s.pageSize)], "morePages": more, "asOf": s.revision})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
