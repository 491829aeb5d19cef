package stand3

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, as PROTOCOL.md describes it, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store. It answers all calls of PROTOCOL.md that only read.
type store struct {
	record *record
	server *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// silent holds the channels that have gone silent for good: nothing is answered on them.
	silent map[net.Conn]bool
	open   map[net.Conn]bool
	// cutShare is the share of the watches that are cut at some moment while they wait.
	cutShare float64
}

func newStore(r *record) *store {
	return &store{record: r, revision: 100, items: map[string]item{}, changed: make(chan struct{}), silent: map[net.Conn]bool{}, open: map[net.Conn]bool{}}
}

type connKey struct{}

// serve serves the store at address.
func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	s.server = &http.Server{
		Handler: mux,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: s.stateChanged,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *store) stateChanged(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[conn] = true
	case http.StateClosed:
		delete(s.open, conn)
		delete(s.silent, conn)
	}
}

// goSilent lets all open channels go silent for good. New ones work.
func (s *store) goSilent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		s.silent[conn] = true
	}
	return len(s.open)
}

// channels returns the number of open channels.
func (s *store) channels() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// isSilent reports whether the channel of a call has gone silent.
func (s *store) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[r.Context().Value(connKey{}).(net.Conn)]
}

// answer answers a call, or never if its channel has gone silent.
func (s *store) answer(w http.ResponseWriter, r *http.Request, body any) {
	if s.isSilent(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// put writes an item and returns its revision.
func (s *store) put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(item{Key: key, Value: raw})
}

// remove deletes an item and returns the revision of that.
func (s *store) remove(key string) int64 {
	return s.change(item{Key: key, Deleted: true})
}

func (s *store) change(next item) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	next.Revision = s.revision
	if next.Deleted {
		delete(s.items, next.Key)
	} else {
		next.Created = next.Revision
		if before, ok := s.items[next.Key]; ok {
			next.Created = before.Created
		}
		s.items[next.Key] = next
	}
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.write("store", "acknowledged", "key", next.Key, "revision", next.Revision, "deleted", next.Deleted)
	return next.Revision
}

const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"morePages"`
		AsOf  int64  `json:"asOf"`
	}{Items: []item{}}
	s.mu.Lock()
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, stored)
		}
	}
	page.AsOf = s.revision
	s.mu.Unlock()
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > pageItems {
		page.Items, page.More = page.Items[:pageItems], true
	}
	s.answer(w, r, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	wait := time.Duration(waitMS) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	cut := s.cutAfter(wait)
	for expired := false; ; {
		events, asOf, changed := s.since(prefix, after)
		if len(events) > 0 || expired {
			s.answer(w, r, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-cut:
			s.record.write("store", "cuts a watch", "from", r.RemoteAddr)
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// setCutShare sets the share of the watches that are cut while they wait.
func (s *store) setCutShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutShare = share
}

// cutAfter returns a channel that fires when a watch is to be cut, nil if it is not.
func (s *store) cutAfter(wait time.Duration) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.Float64() >= s.cutShare {
		return nil
	}
	return time.After(time.Duration(rand.Int64N(int64(wait) + 1)))
}

// since returns the events after a revision, and a channel that is closed at the next change.
func (s *store) since(prefix string, after int64) ([]item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed
}
