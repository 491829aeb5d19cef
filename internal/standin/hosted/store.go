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

// Fault is the way in which the Store fails calls.
type Fault int

// Values of Fault.
const (
	// FaultNone serves all calls.
	FaultNone Fault = iota
	// FaultUnavailable responds with status 503.
	FaultUnavailable
	// FaultReset closes the connection without a response.
	FaultReset
	// FaultHang never responds.
	FaultHang
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
	fault             Fault
	pageSize          int
	calls             int
	// rangeCalls counts the range calls among calls.
	rangeCalls int
}

// item is a stored item or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageSize is the default number of items per page of a range.
const pageSize = 20

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), items: map[string]item{}, revision: 1, pageSize: pageSize}
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) append(change item) {
	s.history = append(s.history, change)
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

// SetFault sets the fault of all further calls. It also applies to waiting watches.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.changed)
	s.changed = make(chan struct{})
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

// applyFault fails the call according to fault. It reports whether the call is to be served.
func applyFault(fault Fault, w http.ResponseWriter, r *http.Request) bool {
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
	default:
		return true
	}
	return false
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.rangeCalls++
	defer s.mu.Unlock()
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

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		events, known, revision, changed, fault := s.changesSince(query.Get("prefix"), after), after >= s.compactedRevision, s.revision, s.changed, s.fault
		s.mu.Unlock()
		if !applyFault(fault, w, r) {
			return
		}
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			writeJSON(w, map[string]any{"events": []item{}, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes after a revision to keys with the given prefix. The caller
// must hold s.mu.
func (s *Store) changesSince(prefix string, after int64) []item {
	var events []item
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
