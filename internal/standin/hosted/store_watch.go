package hosted

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// watchState is what a watch sees of the store at one moment.
type watchState struct {
	events []item
	// known reports whether the store has the whole history after the watch's revision.
	known    bool
	revision int64
	era      int64
	fault    Fault
	cutAfter time.Duration
	// changed is closed when there is something new to see.
	changed chan struct{}
}

// serveWatch serves a watch. It cuts a watch that waits while the store is restored.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	state := s.watch(w, prefix, after)
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	cut := state.cutTimer()
	defer cut.Stop()
	for startEra := state.era; ; state = s.watch(w, prefix, after) {
		if state.era != startEra {
			panic(http.ErrAbortHandler)
		}
		if !applyFault(state.fault, w, r) {
			return
		}
		if !state.known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(state.events) > 0 {
			writeJSON(w, map[string]any{"events": state.events, "asOf": state.revision})
			return
		}
		select {
		case <-state.changed:
		case <-limit.C:
			writeJSON(w, map[string]any{"events": []item{}, "asOf": state.revision})
			return
		case <-cut.C:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// watch returns what a watch after a revision sees now, and sets the era of its response.
func (s *Store) watch(w http.ResponseWriter, prefix string, after int64) watchState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	return watchState{
		events:   s.changesSince(prefix, after),
		known:    after >= s.compactedRevision && after <= s.revision,
		revision: s.revision,
		era:      s.era,
		fault:    s.fault,
		cutAfter: s.cutAfter,
		changed:  s.changed,
	}
}

// cutTimer returns the timer of the cut, which never fires if there is none.
func (s *watchState) cutTimer() *time.Timer {
	if s.cutAfter > 0 {
		return time.NewTimer(s.cutAfter)
	}
	never := time.NewTimer(time.Hour)
	never.Stop()
	return never
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
