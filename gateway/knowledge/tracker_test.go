package knowledge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

func configurationItem(version, revision int64) platform.Item {
	value := fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"tenants":[]}`, version)
	return platform.Item{Key: platform.ConfigurationKey, Value: []byte(value), Revision: revision}
}

func endpointItem(id string, revision int64) platform.Item {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","coldLeftMs":0,"slots":4,"state":"ready","sequence":%d}`, revision)
	return platform.Item{Key: platform.EndpointPrefix + id, Value: []byte(value), Revision: revision}
}

func deletedItem(id string, revision int64) platform.Item {
	return platform.Item{Key: platform.EndpointPrefix + id, Revision: revision, Deleted: true}
}

const testStart = clock.Boot(time.Hour)

// TestRevisionsNeverGoBack applies full and incremental updates in random order, as from the
// store and from peers: the configuration's version, the revisions of endpoints and the time
// of confirmation must never decrease.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker(nil)
		newest := map[string]int64{}
		version, confirmed := int64(0), clock.Boot(0)
		for range 40 {
			revision := rapid.Int64Range(1, 60).Draw(t, "revision")
			update := Update{
				Revision:       revision,
				Full:           rapid.Bool().Draw(t, "whole"),
				DeletionsFinal: rapid.Bool().Draw(t, "decided"),
				ConfirmedAt:    testStart.Add(time.Duration(rapid.Int64Range(0, 1000).Draw(t, "confirmed"))),
			}
			update.Items = append(update.Items, configurationItem(revision, revision))
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			if rapid.Bool().Draw(t, "deleted") {
				update.Items = append(update.Items, deletedItem(id, revision))
			} else {
				update.Items = append(update.Items, endpointItem(id, revision))
			}
			tracker.Apply(update, testStart)
			snapshot := tracker.Snapshot()
			if snapshot.Configuration.Version < version {
				t.Fatalf("version %d after %d", snapshot.Configuration.Version, version)
			}
			version = snapshot.Configuration.Version
			for id, endpoint := range snapshot.Endpoints {
				if endpoint.Position.Revision < newest[id] {
					t.Fatalf("endpoint %s has revision %d after %d", id, endpoint.Position.Revision, newest[id])
				}
				newest[id] = endpoint.Position.Revision
			}
			if at, _ := tracker.ConfirmedAt(); at < confirmed {
				t.Fatal("the confirmation got older")
			} else {
				confirmed = at
			}
		}
	})
}

// TestExpiredEndpointsAreHeld lets entries expire during an outage of the store: their
// endpoints must be kept for HoldAfterRecovery and then removed unless they were renewed.
func TestExpiredEndpointsAreHeld(t *testing.T) {
	tracker := NewTracker(nil)
	now := testStart
	tracker.Apply(Update{Items: []platform.Item{endpointItem("a", 1), endpointItem("b", 2)}, Full: true, Revision: 2}, now)
	tracker.MarkStoreLost(testStart)
	now = now.Add(5 * time.Second)
	tracker.MarkStoreRestored(now)
	tracker.Apply(Update{Items: []platform.Item{deletedItem("a", 3), deletedItem("b", 4)}, Revision: 4}, now)
	readNothing(tracker, now.Add(HoldAfterRecovery-time.Millisecond))
	if count := len(tracker.Snapshot().Ready["s"]); count != 2 {
		t.Fatalf("%d endpoints are held, want 2", count)
	}
	tracker.Apply(Update{Items: []platform.Item{endpointItem("a", 5)}, Revision: 5}, now)
	readNothing(tracker, now.Add(HoldAfterRecovery))
	if ready := tracker.Snapshot().Ready["s"]; len(ready) != 1 || ready[0].ID != "a" {
		t.Errorf("after the hold there are %v", ready)
	}
}

// TestDeletionWhileStoreServesIsImmediate checks that an endpoint is not held when its entry
// is deleted without an outage of the store.
func TestDeletionWhileStoreServesIsImmediate(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Items: []platform.Item{endpointItem("a", 1)}, Full: true, Revision: 1}, testStart)
	tracker.Apply(Update{Items: []platform.Item{deletedItem("a", 2)}, Revision: 2}, testStart)
	if count := len(tracker.Snapshot().Ready["s"]); count != 0 {
		t.Errorf("%d endpoints are left", count)
	}
}

// TestInvalidEntriesAreIgnored applies malformed entries, as other writers may leave them in
// the store.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	tracker := NewTracker(nil)
	items := []platform.Item{endpointItem("good", 1)}
	for i, value := range []string{"", "\xff\xfe", "[]", `{"service":7}`, `{"service":"s"}`, `{"service":"s","address":"nowhere","state":"ready"}`,
		`{"service":"s","address":"10.0.0.1:80","state":"asleep"}`, `{"service":"s","address":"10.0.0.1:80","state":"ready","slots":"many"}`} {
		items = append(items, platform.Item{Key: fmt.Sprint(platform.EndpointPrefix, "g", i), Value: []byte(value), Revision: int64(i + 2)})
	}
	items = append(items, platform.Item{Key: platform.ConfigurationKey, Value: []byte("{"), Revision: 30})
	tracker.Apply(Update{Items: items, Full: true, Revision: 30}, testStart)
	if ready := tracker.Snapshot().Ready["s"]; len(ready) != 1 || ready[0].ID != "good" {
		t.Errorf("the endpoints are %v", ready)
	}
}

// TestAgeThroughPeersIsNeverTooYoung passes data along a chain of VMs with random delays: at
// no VM may ConfirmedAt be later than the time of the original confirmation.
func TestAgeThroughPeersIsNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		randomDelay := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, 3000).Draw(t, name)) * time.Millisecond
		}
		now := testStart
		truth := now
		tracker := NewTracker(nil)
		tracker.Apply(Update{Items: []platform.Item{configurationItem(1, 1)}, Full: true, Revision: 1, ConfirmedAt: now}, now)
		for hop := range 4 {
			now = now.Add(randomDelay("pause"))
			requestedAt := now
			receivedAt := now.Add(randomDelay("request"))
			now = receivedAt.Add(randomDelay("wait"))
			response := tracker.SyncResponse(SyncRequest{}, now)
			response.WaitedMS = now.Sub(receivedAt).Milliseconds()
			now = now.Add(randomDelay("answer"))
			next := NewTracker(nil)
			update, err := response.update(requestedAt, now)
			if err != nil {
				t.Fatal(err)
			}
			next.Apply(update, now)
			if at, ok := next.ConfirmedAt(); !ok || at > truth {
				t.Fatalf("hop %d: confirmed %v after the truth", hop, at.Sub(truth))
			}
			tracker = next
		}
	})
}

// TestSyncBringsAllChanges syncs VMs with randomly chosen others through changes, outages and
// deletions that become final late: in the end all must have the state of the source.
func TestSyncBringsAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewTracker(nil)
		followers := []*Tracker{NewTracker(nil), NewTracker(nil), NewTracker(nil)}
		now := testStart
		for revision := int64(1); revision <= 40; revision++ {
			now = now.Add(100 * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			item := endpointItem(id, revision)
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				item = deletedItem(id, revision)
			case 1:
				item = configurationItem(revision, revision)
			}
			if rapid.IntRange(0, 5).Draw(t, "outage") == 0 {
				source.MarkStoreLost(testStart)
				source.MarkStoreRestored(now)
			}
			source.Apply(Update{Items: []platform.Item{item}, Revision: revision, ConfirmedAt: now}, now)
			source.Expire(now)
			from := rapid.SampledFrom(append(followers, source)).Draw(t, "from")
			rapid.SampledFrom(followers).Draw(t, "to").syncFrom(t, from, now)
		}
		now = now.Add(HoldAfterRecovery)
		source.Expire(now)
		want := source.Snapshot()
		for _, follower := range followers {
			follower.syncFrom(t, source, now)
			got := follower.Snapshot()
			if len(got.Endpoints) != len(want.Endpoints) || (want.Configuration != nil && got.Configuration.Version != want.Configuration.Version) {
				t.Fatalf("a follower has %d endpoints, want %d", len(got.Endpoints), len(want.Endpoints))
			}
			for id, endpoint := range want.Endpoints {
				if got.Endpoints[id] == nil || got.Endpoints[id].Position.Revision != endpoint.Position.Revision {
					t.Fatalf("endpoint %s differs", id)
				}
			}
		}
	})
}

// TestDeletionsReachFollowersOfRestartedVM lets a VM follow one that has started, or has read
// everything again, after an endpoint was removed.
func TestDeletionsReachFollowersOfRestartedVM(t *testing.T) {
	before := Update{Items: []platform.Item{endpointItem("a", 1), endpointItem("b", 2)}, Full: true, Revision: 2}
	after := Update{Items: []platform.Item{endpointItem("b", 2)}, Full: true, Revision: 3}
	follower, restarted := NewTracker(nil), NewTracker(nil)
	follower.Apply(before, testStart)
	restarted.Apply(after, testStart)
	response := restarted.SyncResponse(follower.SyncRequest(), testStart)
	update, err := response.update(testStart, testStart)
	if err != nil {
		t.Fatal(err)
	}
	follower.Apply(update, testStart)
	if ready := follower.Snapshot().Ready["s"]; len(ready) != 1 || ready[0].ID != "b" {
		t.Errorf("the endpoints are %v, want b", ready)
	}
}

// syncFrom fetches and applies what this Tracker lacks from another VM's.
func (t *Tracker) syncFrom(test *rapid.T, source *Tracker, now clock.Boot) {
	response := source.SyncResponse(t.SyncRequest(), now)
	update, err := response.update(now, now)
	if err != nil {
		test.Fatal(err)
	}
	t.Apply(update, now)
}

// fakeStore is a Store of a list of items whose calls fail with the error fail, if not nil.
type fakeStore struct {
	mu       sync.Mutex
	items    []platform.Item
	revision int64
	fail     error
	reads    int
	watches  int
	// cutAfter is after which wait a watch is cut, 0 if none is.
	cutAfter time.Duration
}

func (s *fakeStore) Range(context.Context, string, string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return platform.Page{Items: s.items, Revision: s.revision}, s.fail
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Changes, error) {
	changes, err := s.since(after)
	if err != nil || len(changes.Items) > 0 {
		return changes, err
	}
	if s.cutAfter > 0 && wait > s.cutAfter {
		clock.Sleep(ctx, s.cutAfter)
		return platform.Changes{}, code.Wrap(platform.ErrCut, code.PlatformSilent, "the store does not answer")
	}
	clock.Sleep(ctx, wait)
	return changes, nil
}

func (s *fakeStore) since(after int64) (platform.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	changes := platform.Changes{Revision: s.revision}
	for _, item := range s.items {
		if item.Revision > after {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes, s.fail
}

// put adds an item and sets the store's revision to the item's.
func (s *fakeStore) put(item platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision = append(s.items, item), item.Revision
}

func (s *fakeStore) setFail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = err
}

// calls returns the numbers of calls of Range and Watch.
func (s *fakeStore) calls() (reads, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.watches
}

func (s *fakeStore) Reset() {}
