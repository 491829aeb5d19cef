package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store: it answers kv-range and kv-watch, keeps its whole
// history, and loses nothing. It is safe for concurrent use.
type store struct {
	server *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	items    map[string]item
	history  []item
	revision int64
	// cutAfter is how long a watch may wait before its connection is cut, 0 for any time.
	cutAfter time.Duration
	// answered counts the calls that were answered, cuts the watches that were cut.
	answered, cuts int
}

// storeDelay is how long a call takes at least.
const storeDelay = 4 * time.Millisecond

func newStore() *store {
	return &store{changed: make(chan struct{}), items: map[string]item{}, revision: 1}
}

// put writes an item.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // All values of the cases can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	written := item{Key: key, Value: raw, Revision: s.revision, Created: created}
	s.items[key] = written
	s.append(written)
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

// append records a change and wakes the watches. The caller holds s.mu.
func (s *store) append(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches lets each watch that has waited for a time be cut from now on; 0 ends that.
func (s *store) cutWatches(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = after
}

// counts returns how many calls were answered and how many watches were cut.
func (s *store) counts() (answered, cuts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered, s.cuts
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// pageSize is the number of items on a page.
const pageSize = 50

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, one)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.writeJSON(w, map[string]any{"items": found[:min(len(found), pageSize)], "morePages": len(found) > pageSize, "asOf": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	events, revision, ok := s.await(r.Context(), query.Get("prefix"), after, time.Duration(min(waitMS, maxWaitMS))*time.Millisecond)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	s.writeJSON(w, map[string]any{"events": events, "asOf": revision})
}

// maxWaitMS is the longest time that a watch may wait.
const maxWaitMS = 30000

// await waits for changes after a revision. ok is false if the watch is cut.
func (s *store) await(ctx context.Context, prefix string, after int64, wait time.Duration) (events []item, revision int64, ok bool) {
	began := time.Now()
	for {
		s.mu.Lock()
		events, revision, changed, cutAfter := s.since(prefix, after), s.revision, s.changed, s.cutAfter
		waited := time.Since(began)
		cut := cutAfter > 0 && waited >= cutAfter && len(events) == 0 && waited < wait
		if cut {
			s.cuts++
		}
		s.mu.Unlock()
		if cut || ctx.Err() != nil {
			return nil, 0, false
		}
		if len(events) > 0 || waited >= wait {
			return events, revision, true
		}
		next := wait
		if cutAfter > 0 {
			next = min(next, cutAfter)
		}
		timer := time.NewTimer(next - waited)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// since returns the changes after a revision. The caller holds s.mu.
func (s *store) since(prefix string, after int64) []item {
	events := []item{}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events
}

// writeJSON answers a call.
func (s *store) writeJSON(w http.ResponseWriter, body any) {
	s.mu.Lock()
	s.answered++
	s.mu.Unlock()
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
