package stand2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the stand-in of the metadata store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the metadata store: range reads in pages, and watches that wait.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision int64
	changed  chan struct{}
	listener net.Listener
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]storeItem{}, revision: 10, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes an item, or deletes it if value is nil. It returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Revision: s.revision}
	if value == nil {
		item.Deleted = true
		delete(s.items, key)
	} else {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		item.Value, item.Created = raw, s.revision
		if known, ok := s.items[key]; ok {
			item.Created = known.Created
		}
		s.items[key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

const pageItems = 50

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	var items []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, map[string]any{"items": items, "morePages": more, "asOf": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.FormValue("waitMs"))
	due := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []storeItem
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-due:
			writeJSON(w, map[string]any{"events": []storeItem{}, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
