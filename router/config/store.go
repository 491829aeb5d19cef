package config

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/source"
)

// Store holds the newest and the last accepted documents of each unit, and the
// snapshot in force. It is safe for concurrent use; reading the snapshot takes no
// lock.
type Store struct {
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// entries holds the state of each unit, by name.
	entries map[string]*entry
	digest  Digest
}

// NewStore returns an empty Store.
func NewStore() *Store {
	store := &Store{entries: map[string]*entry{}}
	store.snapshot.Store(newSnapshot())
	return store
}

// Snapshot returns the snapshot in force.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Apply applies all changes up to revision, as read from the platform, and returns
// the units that they changed. Older versions are ignored.
func (s *Store) Apply(documents []source.Document, revision int64) []Unit {
	names := []string{}
	byName := map[string]Unit{}
	for _, document := range documents {
		name := UnitName(document.Key)
		unit, ok := byName[name]
		if !ok {
			names = append(names, name)
		}
		unit.Name = name
		unit.Newest = append(unit.Newest, document)
		byName[name] = unit
	}
	units := make([]Unit, len(names))
	for i, name := range names {
		units[i] = byName[name]
	}
	return s.applyUnits(units, revision)
}

// Merge applies units received from a peer and returns those that changed, as this
// store now has them. Older versions are ignored.
func (s *Store) Merge(units []Unit) []Unit {
	return s.applyUnits(units, 0)
}

// Advance records that the store is complete up to revision, provided that it is
// complete up to after.
func (s *Store) Advance(after, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Snapshot()
	if current.Revision < after || current.Revision >= revision {
		return
	}
	next := *current
	next.Revision = revision
	s.snapshot.Store(&next)
}

// applyUnits applies units and publishes a new snapshot with at least the given
// revision. It returns the units that changed.
func (s *Store) applyUnits(units []Unit, revision int64) []Unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Snapshot()
	next := current
	var fresh []Unit
	for _, unit := range units {
		if !s.mayChange(unit) {
			continue
		}
		if next == current {
			next = current.clone()
		}
		if s.applyUnit(next, unit) {
			fresh = append(fresh, s.entries[unit.Name].unit(unit.Name))
		}
	}
	if revision > next.Revision {
		copied := *next
		copied.Revision = revision
		next = &copied
	}
	s.snapshot.Store(next)
	return fresh
}

// mayChange reports whether the unit may contain something newer than the store
// has.
func (s *Store) mayChange(unit Unit) bool {
	known, ok := s.entries[unit.Name]
	if !ok {
		return len(unit.Newest) > 0
	}
	if highestVersion(unit.Accepted) > highestVersion(known.accepted) {
		return true
	}
	_, fresh := mergeDocuments(known.newest, unit.Newest)
	return fresh
}

// applyUnit applies a unit to the store and to next, and reports whether it changed
// anything.
func (s *Store) applyUnit(next *Snapshot, unit Unit) bool {
	known, ok := s.entries[unit.Name]
	if !ok {
		known = &entry{}
	}
	changed := *known
	var fresh bool
	changed.newest, fresh = mergeDocuments(known.newest, unit.Newest)
	if fresh {
		changed.refused = nil
		if err := install(next, unit.Name, changed.newest); err != nil {
			changed.refused = code.Of(err)
		} else {
			changed.accepted = changed.newest
		}
		logResult(unit.Name, &changed)
	}
	restored := changed.refused != nil && restoreAccepted(next, &changed, unit)
	if !fresh && !restored {
		return false
	}
	s.replaceEntry(next, unit.Name, known, &changed, ok)
	return true
}

// restoreAccepted puts a peer's last accepted documents in force in next if they
// are newer than those of known. It is needed by a router that has seen only
// refused documents of the unit.
func restoreAccepted(next *Snapshot, known *entry, unit Unit) bool {
	if highestVersion(unit.Accepted) <= highestVersion(known.accepted) || highestVersion(unit.Accepted) >= highestVersion(known.newest) {
		return false
	}
	if install(next, unit.Name, unit.Accepted) != nil {
		return false
	}
	known.accepted = unit.Accepted
	klog.Infof("config: %s version %d, the last accepted one, is in force.", unit.Name, highestVersion(unit.Accepted))
	return true
}

// replaceEntry replaces the entry of a unit and updates the digest and the refused
// documents of next. known reports whether the store had an entry.
func (s *Store) replaceEntry(next *Snapshot, name string, old, changed *entry, known bool) {
	if known {
		s.digest.toggle(old.stamp(name))
	}
	s.digest.toggle(changed.stamp(name))
	for _, document := range changed.newest {
		delete(next.Refused, document.Key)
	}
	if changed.refused != nil {
		next.Refused[changed.refusedKey()] = changed.refused
	}
	s.entries[name] = changed
}

// logResult logs whether the newest documents of a unit were accepted.
func logResult(name string, changed *entry) {
	if changed.refused != nil {
		klog.Warningf("config: %s version %d is refused, version %d stays in force: %v.",
			name, highestVersion(changed.newest), highestVersion(changed.accepted), changed.refused)
		return
	}
	klog.Infof("config: %s version %d is in force.", name, highestVersion(changed.newest))
}

// Digest returns the digest of all units.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// Stamps returns the stamps of the units in the buckets in which other differs,
// sorted by name.
func (s *Store) Stamps(other Digest) []Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stamps []Stamp
	for name, known := range s.entries {
		bucket := bucketOf(name)
		if s.digest[bucket] != other[bucket] {
			stamps = append(stamps, known.stamp(name))
		}
	}
	slices.SortFunc(stamps, func(a, b Stamp) int { return strings.Compare(a.Name, b.Name) })
	return stamps
}

// Missing returns the names of the units for which a peer's stamps show something
// newer than this store has.
func (s *Store) Missing(stamps []Stamp) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, stamp := range stamps {
		known, ok := s.entries[stamp.Name]
		if !ok || stamp.Version > highestVersion(known.newest) {
			names = append(names, stamp.Name)
			continue
		}
		if stamp.Refused && known.refused != nil && stamp.Accepted > highestVersion(known.accepted) {
			names = append(names, stamp.Name)
		}
	}
	return names
}

// Units returns units by name, in the given order, as long as their documents
// together have at most limit bytes, but at least one. The caller asks again for
// the rest.
func (s *Store) Units(names []string, limit int) []Unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	var units []Unit
	total := 0
	for _, name := range names {
		known, ok := s.entries[name]
		if !ok {
			continue
		}
		unit := known.unit(name)
		total += unit.Bytes()
		if total > limit && len(units) > 0 {
			return units
		}
		units = append(units, unit)
	}
	return units
}
