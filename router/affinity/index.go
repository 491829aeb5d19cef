package affinity

import (
	"sync"
	"time"
)

// Index remembers where the chats of a home's engines went. An entry that is
// not used is kept for between half and all of the keep time, as long as there
// is room. It is safe for concurrent use.
type Index struct {
	limit int
	keep  time.Duration

	mu       sync.Mutex
	current  *generation
	previous *generation
}

// NewIndex returns an empty Index of at most limit entries. keep bounds how
// long an unused entry is kept, and is how long the Index must have known an
// engine before it is complete.
func NewIndex(limit int, keep time.Duration) *Index {
	return &Index{limit: limit, keep: keep, current: newGeneration(time.Time{}), previous: newGeneration(time.Time{})}
}

// Look returns the place of a chat and whether the Index is complete for the
// engine. chat is the chat's key.
func (x *Index) Locate(engine string, chat uint64, now time.Time) (place ContextLocation, complete bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rotate(now)
	since := x.noteEngine(engine, now)
	return x.find(engine, chat).place, now.Sub(since) >= x.keep
}

// find returns the entry of a chat and keeps it.
func (x *Index) find(engine string, chat uint64) entry {
	key := entryKey(engine, chat)
	found, ok := x.current.places[key]
	if !ok {
		found, ok = x.previous.places[key]
	}
	if ok {
		x.current.places[key] = found
	}
	return found
}

// AdmittedAgo returns how long ago the engine admitted a chat that it has
// refused since. It orders engines that all had the chat's context.
func (x *Index) SinceAdmission(engine string, chat uint64, now time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Sub(x.find(engine, chat).admitted)
}

// Check reports whether the home passes a request on, and why. A chat that an
// incomplete Index passes on is noted as elsewhere, so that it is found again
// when the Index is complete; its admission here corrects that.
func (x *Index) Check(engine string, chat uint64, lookup LookupMode, now time.Time) (Refusal, bool) {
	if lookup == LookupAny {
		return 0, false
	}
	place, complete := x.Locate(engine, chat, now)
	if place == ContextHere {
		return 0, false
	}
	if place == ContextLeftHere {
		return RefusalContextLeft, true
	}
	if place == ContextElsewhere || lookup == LookupHeld {
		return RefusalContextElsewhere, true
	}
	if complete {
		return 0, false
	}
	x.Record(engine, chat, ContextElsewhere, now)
	return RefusalContextUnknown, true
}

// Refused notes that the engine refused a chat.
func (x *Index) RecordRefusal(engine string, chat uint64, now time.Time) {
	place, _ := x.Locate(engine, chat, now)
	if place == ContextHere || place == ContextLeftHere {
		x.Record(engine, chat, ContextLeftHere, now)
		return
	}
	x.Record(engine, chat, ContextElsewhere, now)
}

// Note sets the place of a chat.
func (x *Index) Record(engine string, chat uint64, place ContextLocation, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rotate(now)
	x.noteEngine(engine, now)
	next := entry{place: place, admitted: now}
	if place == ContextLeftHere {
		next.admitted = x.find(engine, chat).admitted
	}
	x.current.places[entryKey(engine, chat)] = next
}

// Len returns the number of entries; a chat may be counted twice.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.current.places) + len(x.previous.places)
}

// rotate drops the older generation when the newer one is old or full.
func (x *Index) rotate(now time.Time) {
	if x.current.start.IsZero() {
		x.current.start = now
	}
	age := now.Sub(x.current.start)
	if age < x.keep/2 && len(x.current.places) < x.limit/2 {
		return
	}
	x.previous = x.current
	if age >= x.keep {
		x.previous = newGeneration(now)
	}
	x.current = newGeneration(now)
}

// noteEngine returns since when the engine is known.
func (x *Index) noteEngine(engine string, now time.Time) time.Time {
	since, ok := x.current.engines[engine]
	if ok {
		return since
	}
	since, ok = x.previous.engines[engine]
	if !ok {
		since = now
	}
	x.current.engines[engine] = since
	return since
}
