package hosted

import (
	"maps"
	"slices"
)

// StoreCopy is a copy of the contents of a Store.
type StoreCopy struct {
	items             map[string]item
	history           []item
	compactedRevision int64
	revision          int64
}

// Copy returns a copy of the current contents.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{
		items:             maps.Clone(s.items),
		history:           slices.Clone(s.history),
		compactedRevision: s.compactedRevision,
		revision:          s.revision,
	}
}

// Restore replaces the contents by those of a copy and begins a new era: what was written since
// is gone, and its revisions will be used again. Waiting watches are cut.
func (s *Store) Restore(from StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = maps.Clone(from.items)
	s.history = slices.Clone(from.history)
	s.compactedRevision = from.compactedRevision
	s.revision = from.revision
	s.era++
	s.wake()
}

// RewriteConfiguration makes the operator write its newest configuration again. It returns the
// revision.
func (s *Store) RewriteConfiguration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(configurationKey, s.configuration)
}

// RewriteEndpoints makes the live endpoints write their entries again where the stored ones
// differ, as their next heartbeats do after Restore. Entries of endpoints that have left stay.
func (s *Store) RewriteEndpoints() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.registrations)) {
		registered := s.registrations[id]
		if !registered.left && !slices.Equal(s.items[endpointPrefix+id].Value, registered.entry()) {
			s.register(id, registered)
		}
	}
}
