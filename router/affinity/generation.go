package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// generation holds the entries that were used since its start, and since when
// each engine has been known.
type generation struct {
	start      time.Time
	entries    map[uint64]entry
	knownSince map[string]time.Time
}

// entry is the location of a chat's context as seen by one engine's home.
type entry struct {
	location ContextLocation
	// admittedAt is when the engine last admitted the chat.
	admittedAt time.Time
}

func newGeneration(start time.Time) *generation {
	return &generation{start: start, entries: map[uint64]entry{}, knownSince: map[string]time.Time{}}
}

// entryKey returns the key of an engine's entry for the chat with the given key.
func entryKey(engine string, chat uint64) uint64 {
	return xxhash.Sum64String(engine) ^ chat
}
