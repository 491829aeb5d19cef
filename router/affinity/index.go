package affinity

import (
	"sync"
	"time"
)

// Index records for a home where the contexts of chats are, as far as its engines
// admitted or refused these chats. An unused entry is kept for between half of the retention time and all of it, as long as the
// limit allows. It is safe for concurrent use.
type Index struct {
	limit     int
	retention time.Duration

	mu       sync.Mutex
	current  *generation
	previous *generation
}

// NewIndex returns an empty Index of at most limit entries. retention bounds how
// long an unused entry is kept; the Index is complete for an engine once it has
// known the engine for that time.
func NewIndex(limit int, retention time.Duration) *Index {
	return &Index{limit: limit, retention: retention, current: newGeneration(time.Time{}), previous: newGeneration(time.Time{})}
}

// Locate returns the location of a chat's context and whether the Index is
// complete for the engine. chat is the chat's key.
func (x *Index) Locate(engine string, chat uint64, now time.Time) (location ContextLocation, complete bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rotate(now)
	since := x.engineKnownSince(engine, now)
	return x.find(engine, chat).location, now.Sub(since) >= x.retention
}

// find returns the entry of a chat and marks it as used.
func (x *Index) find(engine string, chat uint64) entry {
	key := entryKey(engine, chat)
	found, ok := x.current.entries[key]
	if !ok {
		found, ok = x.previous.entries[key]
	}
	if ok {
		x.current.entries[key] = found
	}
	return found
}

// SinceAdmission returns how long ago the engine admitted a chat that it has
// refused since. It orders engines that all had the chat's context.
func (x *Index) SinceAdmission(engine string, chat uint64, now time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Sub(x.find(engine, chat).admittedAt)
}

// Check reports whether the home declines a request, and why. A chat that is
// declined because the Index is incomplete is recorded as ContextElsewhere, so
// that it is found again when the Index is complete; an admission of the chat
// here corrects the entry.
func (x *Index) Check(engine string, chat uint64, mode LookupMode, now time.Time) (Refusal, bool) {
	if mode == LookupAny {
		return 0, false
	}
	location, complete := x.Locate(engine, chat, now)
	if location == ContextHere {
		return 0, false
	}
	if location == ContextLeftHere {
		return RefusalContextLeft, true
	}
	if location == ContextElsewhere || mode == LookupHeld {
		return RefusalContextElsewhere, true
	}
	if complete {
		return 0, false
	}
	x.Record(engine, chat, ContextElsewhere, now)
	return RefusalContextUnknown, true
}

// RecordRefusal records that the engine refused a chat.
func (x *Index) RecordRefusal(engine string, chat uint64, now time.Time) {
	location, _ := x.Locate(engine, chat, now)
	if location == ContextHere || location == ContextLeftHere {
		x.Record(engine, chat, ContextLeftHere, now)
		return
	}
	x.Record(engine, chat, ContextElsewhere, now)
}

// Record sets the location of a chat's context. ContextLeftHere keeps the time
// of the chat's last admission.
func (x *Index) Record(engine string, chat uint64, location ContextLocation, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rotate(now)
	x.engineKnownSince(engine, now)
	next := entry{location: location, admittedAt: now}
	if location == ContextLeftHere {
		next.admittedAt = x.find(engine, chat).admittedAt
	}
	x.current.entries[entryKey(engine, chat)] = next
}

// Len returns the number of entries. A chat may be counted twice.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.current.entries) + len(x.previous.entries)
}

// rotate starts a new generation and drops the older one when the current one is
// half the retention time old or holds half of the limit.
func (x *Index) rotate(now time.Time) {
	if x.current.start.IsZero() {
		x.current.start = now
	}
	age := now.Sub(x.current.start)
	if age < x.retention/2 && len(x.current.entries) < x.limit/2 {
		return
	}
	x.previous = x.current
	if age >= x.retention {
		x.previous = newGeneration(now)
	}
	x.current = newGeneration(now)
}

// engineKnownSince returns since when the engine has been known, and marks it as
// used.
func (x *Index) engineKnownSince(engine string, now time.Time) time.Time {
	since, ok := x.current.knownSince[engine]
	if ok {
		return since
	}
	since, ok = x.previous.knownSince[engine]
	if !ok {
		since = now
	}
	x.current.knownSince[engine] = since
	return since
}
