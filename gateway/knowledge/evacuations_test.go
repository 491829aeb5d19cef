package knowledge

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/platform"
)

// evacuationItem returns the order to evacuate a failure domain.
func evacuationItem(domain string, era, revision int64) platform.Item {
	return platform.Item{Key: platform.EvacuationPrefix + domain, Value: []byte("{}"), Era: era, Revision: revision}
}

// deletedEvacuation returns the end of an evacuation.
func deletedEvacuation(domain string, era, revision int64) platform.Item {
	return platform.Item{Key: platform.EvacuationPrefix + domain, Era: era, Revision: revision, Deleted: true}
}

// domainItem returns the entry of an endpoint in a failure domain.
func domainItem(id, domain string, revision int64) platform.Item {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":%q,"version":"v1","coldLeftMs":0,"slots":4,"state":"ready","sequence":1}`, domain)
	return platform.Item{Key: platform.EndpointPrefix + id, Value: []byte(value), Revision: revision}
}

// trackerOfTwoDomains returns a Tracker at revision 10 with an endpoint in each of two failure domains.
func trackerOfTwoDomains() *Tracker {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, EvacuationsComplete: true, Revision: 10, Items: []platform.Item{
		configurationItem(1, 1), domainItem("a1", "a", 2), domainItem("b1", "b", 3),
	}}, testStart)
	return tracker
}

// TestEvacuatedEndpointsGetNothing guards against new requests to endpoints of evacuated failure domains, and against
// endpoints that stay unused after it.
func TestEvacuatedEndpointsGetNothing(t *testing.T) {
	tracker := trackerOfTwoDomains()
	for _, step := range []struct {
		items []platform.Item
		want  []string
	}{
		{[]platform.Item{evacuationItem("a", 0, 11)}, []string{"b1"}},
		{[]platform.Item{evacuationItem("unknown", 0, 12)}, []string{"b1"}},
		{[]platform.Item{evacuationItem("b", 0, 13)}, nil},
		{[]platform.Item{deletedEvacuation("a", 0, 14), deletedEvacuation("never", 0, 15)}, []string{"a1"}},
		{[]platform.Item{deletedEvacuation("b", 0, 16)}, []string{"a1", "b1"}},
	} {
		revision := step.items[len(step.items)-1].Revision
		tracker.Apply(Update{Revision: revision, Items: step.items}, testStart)
		wantReady(t, tracker, step.want...)
		if newest := tracker.Newest(); newest.Revision != revision {
			t.Errorf("newest position is %d, want %d: other VMs would not ask for the change", newest.Revision, revision)
		}
	}
}

// TestFullReadReplacesEvacuations guards against an evacuation that stays in force although its end was in a history
// that the store has dropped, and against an older read that undoes a newer state.
func TestFullReadReplacesEvacuations(t *testing.T) {
	tracker := trackerOfTwoDomains()
	endpoints := []platform.Item{domainItem("a1", "a", 2), domainItem("b1", "b", 3)}
	tracker.Apply(Update{Revision: 20, Items: []platform.Item{evacuationItem("a", 0, 20)}}, testStart)
	tracker.Apply(Update{Full: true, EvacuationsComplete: true, Revision: 19, Items: endpoints}, testStart)
	wantReady(t, tracker, "b1")
	tracker.Apply(Update{Revision: 21, Items: []platform.Item{evacuationItem("a", 0, 20)}}, testStart)
	tracker.Apply(Update{Full: true, EvacuationsComplete: true, Revision: 30, Items: append(endpoints, evacuationItem("b", 0, 25))}, testStart)
	wantReady(t, tracker, "a1")
}

// TestVMsExchangeEvacuations lets two VMs learn changes in random order from the store and from each other, and guards
// against a VM that lags behind and undoes the newer state of the other one.
func TestVMsExchangeEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newModelStore()
		for _, item := range []platform.Item{configurationItem(1, 1), domainItem("a1", "a", 2), domainItem("b1", "b", 3)} {
			store.write(item)
		}
		vms := []*Tracker{NewTracker(nil), NewTracker(nil)}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			vm := rapid.IntRange(0, 1).Draw(t, "vm")
			before := vms[vm].Position()
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				store.write(evacuationItem(domain, 1, 0))
			case 1:
				store.write(deletedEvacuation(domain, 1, 0))
			case 2:
				update := store.readAll(testStart)
				update.EvacuationsComplete = true
				vms[vm].Apply(update, testStart)
			case 3:
				changes, _ := store.since(before.Revision)
				if !before.IsZero() {
					vms[vm].Apply(Update{Items: changes.Items, Era: changes.Era, Revision: changes.Revision}, testStart)
				}
			case 4:
				response := vms[1-vm].SyncResponse(vms[vm].SyncRequest(), testStart)
				update, err := response.update(testStart, testStart)
				if err != nil {
					t.Fatal(err)
				}
				vms[vm].Apply(update, testStart)
			}
			checkEvacuated(t, store, vms[vm])
		}
	})
}

// checkEvacuated compares the evacuations of a VM with those of the store at the VM's position.
func checkEvacuated(t *rapid.T, store *modelStore, vm *Tracker) {
	want := map[string]bool{}
	for _, item := range store.history {
		if domain, ok := platform.EvacuatedDomain(item.Key); ok && !item.Position().After(vm.Position()) {
			want[domain] = !item.Deleted
		}
	}
	known := vm.Snapshot().Evacuated
	for domain, evacuated := range want {
		if _, ok := known[domain]; ok != evacuated {
			t.Fatalf("at %+v: evacuation of %s is %v, want %v", vm.Position(), domain, ok, evacuated)
		}
	}
}

// TestRestoredStoreGivesTimeToEvacuateAgain guards against requests to an evacuated failure domain while a store that
// came back from an older copy lacks the order, and against an evacuation that stays in force without it.
func TestRestoredStoreGivesTimeToEvacuateAgain(t *testing.T) {
	for name, writtenAgain := range map[string]bool{"written again": true, "not written again": false} {
		tracker := restoredTracker()
		tracker.Apply(Update{Era: 1, Revision: 51, Items: []platform.Item{evacuationItem("a", 1, 51)}}, testStart)
		now := testStart.Add(time.Second)
		restored := copyUpdate()
		restored.EvacuationsComplete = true
		tracker.Apply(restored, now)
		wantReady(t, tracker)
		follower := NewTracker(nil)
		learnAt(t, follower, tracker, now)
		if len(follower.Snapshot().Evacuated) != 1 {
			t.Errorf("%s: another VM learned %v", name, follower.Snapshot().Evacuated)
		}
		if writtenAgain {
			tracker.Apply(Update{Era: 2, Revision: 11, Items: []platform.Item{evacuationItem("a", 2, 11)}}, now)
		}
		readNothing(tracker, now.Add(rewriteTime))
		readNothing(follower, now.Add(rewriteTime))
		if evacuated := len(tracker.Snapshot().Evacuated) == 1; evacuated != writtenAgain {
			t.Errorf("%s: evacuated is %v", name, evacuated)
		}
		if len(follower.Snapshot().Evacuated) != 0 && !writtenAgain {
			t.Errorf("%s: another VM kept the evacuation", name)
		}
	}
}

// TestFleetEvacuatesInTime evacuates a failure domain in fleets of several sizes whose VMs read the store through
// others, and guards against VMs that learn it only after the bound of the published settings.
func TestFleetEvacuatesInTime(t *testing.T) {
	const bound = 5 * time.Second
	for _, size := range []int{7, 60, 112, 300} {
		t.Run(fmt.Sprintf("%d VMs", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.UseVirtualTime(t)
				ctx, cancel := context.WithCancel(context.Background())
				store := newModelStore()
				store.write(configurationItem(1, 1))
				store.write(domainItem("a1", "a", 2))
				fleet := newEmulatedFleet(ctx, size, 3, store)
				time.Sleep(3 * time.Second)
				store.write(evacuationItem("a", 1, 0))
				learned := untilAll(fleet, bound, func(s *Snapshot) bool { return len(s.Evacuated) == 1 && len(s.Ready["s"]) == 0 })
				store.write(deletedEvacuation("a", 1, 0))
				ended := untilAll(fleet, bound, func(s *Snapshot) bool { return len(s.Evacuated) == 0 && len(s.Ready["s"]) == 1 })
				if learned >= bound || ended >= bound {
					t.Errorf("all VMs know the begin after %v and the end after %v", learned, ended)
				}
				cancel()
			})
		})
	}
}

// untilAll returns how long it takes until the snapshots of all VMs fulfil a condition, at most limit.
func untilAll(fleet *emulatedFleet, limit time.Duration, holds func(*Snapshot) bool) time.Duration {
	began := clock.Now()
	for clock.Now().Sub(began) < limit {
		all := true
		for _, vm := range fleet.vms {
			all = all && holds(vm.tracker.Snapshot())
		}
		if all {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return clock.Now().Sub(began)
}

// TestChangesArePreparedBeforeRequestsSeeThem guards against requests to endpoints of a new snapshot that onChange has not
// received yet: cold ones among them would not be limited.
func TestChangesArePreparedBeforeRequestsSeeThem(t *testing.T) {
	var tracker *Tracker
	calls := 0
	tracker = NewTracker(func(next *Snapshot) {
		calls++
		if tracker.Snapshot() == next {
			t.Error("the snapshot is visible before onChange has returned")
		}
	})
	tracker.Apply(Update{Full: true, EvacuationsComplete: true, Revision: 10, Items: []platform.Item{configurationItem(1, 1), domainItem("a1", "a", 2)}}, testStart)
	if calls != 1 || tracker.Snapshot().Endpoints["a1"] == nil {
		t.Errorf("%d calls, endpoints %v", calls, tracker.Snapshot().Endpoints)
	}
}
