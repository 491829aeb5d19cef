package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// generation holds the entries that were used since its start.
type generation struct {
	start   time.Time
	places  map[uint64]entry
	engines map[string]time.Time
}

// entry is the place of a chat at one engine.
type entry struct {
	place ContextLocation
	// admitted is when the engine admitted the chat last.
	admitted time.Time
}

func newGeneration(start time.Time) *generation {
	return &generation{start: start, places: map[uint64]entry{}, engines: map[string]time.Time{}}
}

// entryKey joins an engine and a chat's key.
func entryKey(engine string, chat uint64) uint64 {
	return xxhash.Sum64String(engine) ^ chat
}
