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

// Store keeps the newest documents of each unit, the last accepted ones, and
// the snapshot in force. It is safe for concurrent use; reading the snapshot
// takes no lock.
type Store struct {
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	entries map[string]*entry
	digest  Digest
}

// NewStore returns an empty Store.
func NewStore() *Store {
	store := &Store{entries: map[string]*entry{}}
	store.snapshot.Store(newSnapshot())
	return store
}

// Snapshot returns what is in force.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Apply takes in all changes up to revision, as the platform gave them, and
// returns the units that changed by them. Older versions are ignored.
func (s *Store) Apply(values []source.Value, revision int64) []Unit {
	names := []string{}
	byName := map[string]Unit{}
	for _, value := range values {
		name := UnitName(value.Key)
		unit, ok := byName[name]
		if !ok {
			names = append(names, name)
		}
		unit.Name = name
		unit.Newest = append(unit.Newest, value)
		byName[name] = unit
	}
	units := make([]Unit, len(names))
	for i, name := range names {
		units[i] = byName[name]
	}
	return s.take(units, revision)
}

// Merge takes in units as a peer has them and returns those that changed by
// them, as this store has them now. Older versions are ignored.
func (s *Store) Merge(units []Unit) []Unit {
	return s.take(units, 0)
}

// Advance records that the store holds everything up to revision, provided
// that it holds everything up to after.
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

func (s *Store) take(units []Unit, revision int64) []Unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Snapshot()
	next := current
	var fresh []Unit
	for _, unit := range units {
		if !s.brings(unit) {
			continue
		}
		if next == current {
			next = current.clone()
		}
		if s.accept(next, unit) {
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

// brings reports whether the unit may hold something new.
func (s *Store) brings(unit Unit) bool {
	known, ok := s.entries[unit.Name]
	if !ok {
		return len(unit.Newest) > 0
	}
	if version(unit.Accepted) > version(known.accepted) {
		return true
	}
	_, fresh := merge(known.newest, unit.Newest)
	return fresh
}

// accept takes in a unit and reports whether it changed anything.
func (s *Store) accept(next *Snapshot, unit Unit) bool {
	known, ok := s.entries[unit.Name]
	if !ok {
		known = &entry{}
	}
	changed := *known
	var fresh bool
	changed.newest, fresh = merge(known.newest, unit.Newest)
	if fresh {
		changed.refused = nil
		if err := install(next, unit.Name, changed.newest); err != nil {
			changed.refused = code.Of(err)
		} else {
			changed.accepted = changed.newest
		}
		logVerdict(unit.Name, &changed)
	}
	restored := changed.refused != nil && restore(next, &changed, unit)
	if !fresh && !restored {
		return false
	}
	s.replace(next, unit.Name, known, &changed, ok)
	return true
}

// restore puts a peer's last accepted documents in force if they are newer
// than the own ones.
func restore(next *Snapshot, known *entry, unit Unit) bool {
	if version(unit.Accepted) <= version(known.accepted) || version(unit.Accepted) >= version(known.newest) {
		return false
	}
	if install(next, unit.Name, unit.Accepted) != nil {
		return false
	}
	known.accepted = unit.Accepted
	klog.Infof("config: %s version %d is in force, the last accepted one.", unit.Name, version(unit.Accepted))
	return true
}

func (s *Store) replace(next *Snapshot, name string, old, changed *entry, known bool) {
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

func logVerdict(name string, changed *entry) {
	if changed.refused != nil {
		klog.Warningf("config: %s version %d is refused, version %d stays in force: %v.",
			name, version(changed.newest), version(changed.accepted), changed.refused)
		return
	}
	klog.Infof("config: %s version %d is in force.", name, version(changed.newest))
}

// Digest returns the summary of all units.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// Stamps returns the stamps of the units in the buckets in which other
// differs, in the order of their names.
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

// Missing returns the names of those units whose stamp at a peer holds
// something newer than this store.
func (s *Store) Missing(stamps []Stamp) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, stamp := range stamps {
		known, ok := s.entries[stamp.Name]
		if !ok || stamp.Version > version(known.newest) {
			names = append(names, stamp.Name)
			continue
		}
		if stamp.Refused && known.refused != nil && stamp.Accepted > version(known.accepted) {
			names = append(names, stamp.Name)
		}
	}
	return names
}

// Units returns the units with the given names, as many as have documents of
// limit bytes together, and at least one. The caller asks again for the rest.
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
