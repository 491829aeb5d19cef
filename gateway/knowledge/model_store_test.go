package knowledge

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// storeCopy is the content of a modelStore at one moment.
type storeCopy struct {
	items    map[string]platform.Item
	history  []platform.Item
	revision int64
}

// modelStore is a Store in memory that can come back from a copy of itself.
type modelStore struct {
	mu sync.Mutex
	storeCopy
	era int64
	// fullReads counts the calls of Range.
	fullReads int
}

func newModelStore() *modelStore {
	return &modelStore{era: 1, storeCopy: storeCopy{items: map[string]platform.Item{}, revision: 1}}
}

// write writes an item, or its deletion, at the next revision.
func (s *modelStore) write(item platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[item.Key]; item.Deleted && !exists {
		return
	}
	s.revision++
	item.Era, item.Revision = s.era, s.revision
	s.history = append(s.history, item)
	s.items[item.Key] = item
	if item.Deleted {
		delete(s.items, item.Key)
	}
}

func (s *modelStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.items), append([]platform.Item(nil), s.history...), s.revision}
}

// restore begins a new era with the content of a copy.
func (s *modelStore) restore(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.storeCopy = storeCopy{map[string]platform.Item{}, nil, from.revision}
	for key, item := range from.items {
		item.Era = s.era
		s.items[key] = item
	}
	for _, item := range from.history {
		item.Era = s.era
		s.history = append(s.history, item)
	}
}

// readAll returns the Update of a full read.
func (s *modelStore) readAll(now clock.Boot) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := Update{Full: true, Era: s.era, Revision: s.revision, ConfirmedAt: now}
	for _, item := range s.items {
		update.Items = append(update.Items, item)
	}
	return update
}

// Range implements Store, in one page.
func (s *modelStore) Range(_ context.Context, prefix, _ string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullReads++
	page := platform.Page{Era: s.era, Revision: s.revision}
	for _, item := range s.items {
		if strings.HasPrefix(item.Key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

// Watch implements Store.
func (s *modelStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changes, error) {
	changes, err := s.since(after)
	if err == nil && len(changes.Items) == 0 {
		clock.Sleep(ctx, wait)
		changes, err = s.since(after)
	}
	return changes, err
}

// since returns the changes after a revision, or an error with the code code.SnapshotTooOld if the
// store does not have that revision.
func (s *modelStore) since(after int64) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.revision {
		return platform.Changes{}, code.New(code.SnapshotTooOld, "no such revision")
	}
	changes := platform.Changes{Era: s.era, Revision: s.revision}
	for _, item := range s.history {
		if item.Revision > after {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes, nil
}

func (s *modelStore) Reset() {}

// position returns the store's position.
func (s *modelStore) position() traffic.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return traffic.Position{Era: s.era, Revision: s.revision}
}
