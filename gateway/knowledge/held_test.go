package knowledge

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// TestHeldEndpointLeavesFollowersOfRestartedVM replaces the VM that holds an expired endpoint by one that has only read the store.
func TestHeldEndpointLeavesFollowersOfRestartedVM(t *testing.T) {
	for name, lose := range map[string]func(reader *Tracker) Update{
		"outage": func(reader *Tracker) Update {
			reader.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
			reader.MarkStoreLost(testStart)
			reader.MarkStoreRestored(testStart)
			deletion := inEra(1, deletedItem("b", 11))
			reader.Apply(Update{Era: 1, Revision: 11, Items: []platform.Item{deletion}}, testStart)
			return Update{Full: true, Era: 1, Revision: 11, Items: twoEndpoints(1)[:1]}
		},
		"restored copy": func(reader *Tracker) Update {
			reader.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
			onlyOne := Update{Full: true, Era: 2, Revision: 11, Items: twoEndpoints(2)[:1]}
			reader.Apply(onlyOne, testStart)
			return onlyOne
		},
	} {
		reader, follower := NewTracker(nil), NewTracker(nil)
		follower.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
		contents := lose(reader)
		learn(t, follower, reader)
		now := testStart.Add(time.Minute)
		restarted := NewTracker(nil)
		restarted.Apply(contents, now)
		now = now.Add(rewriteTime)
		readNothing(restarted, now)
		learnAt(t, follower, restarted, now)
		follower.Expire(now)
		learnAt(t, follower, restarted, now)
		if ready := follower.Snapshot().Ready["s"]; len(ready) != 1 {
			t.Errorf("%s: %d endpoints are ready, want 1", name, len(ready))
		}
	}
}

func twoEndpoints(era int64) []platform.Item {
	return []platform.Item{
		entryItem("a", traffic.Position{Era: era, Revision: 9}, 1, 1, "ready"),
		entryItem("b", traffic.Position{Era: era, Revision: 10}, 1, 1, "ready"),
	}
}

// learn lets one VM learn from another.
func learn(t *testing.T, to, from *Tracker) {
	t.Helper()
	learnAt(t, to, from, testStart)
}

// learnAt lets one VM learn from another at a time.
func learnAt(t *testing.T, to, from *Tracker, now clock.Boot) {
	t.Helper()
	response := from.SyncResponse(to.SyncRequest(), now)
	update, err := response.update(now, now)
	if err != nil {
		t.Fatal(err)
	}
	to.Apply(update, now)
}

// TestEndpointsAreHeldAfterOutageThatPeersEndTheEraIn lets a VM without the store hear of a later era: what expires until it reaches the store must be held.
func TestEndpointsAreHeldAfterOutageThatPeersEndTheEraIn(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
	tracker.MarkStoreLost(testStart)
	tracker.Apply(Update{Full: true, Era: 2, Revision: 10, Items: twoEndpoints(2), DeletionsFinal: true}, testStart)
	now := testStart.Add(10 * time.Second)
	tracker.MarkStoreRestored(now)
	tracker.Apply(Update{Full: true, Era: 2, Revision: 11, Items: twoEndpoints(2)[:1]}, now)
	if ready := tracker.Snapshot().Ready["s"]; len(ready) != 2 {
		t.Errorf("%d endpoints are ready at once, want 2", len(ready))
	}
}

// TestHeldEndpointIsHeldNoLongerByVMsThatHearOfIt passes a held deletion from VM to VM, each shortly before the end of the hold.
func TestHeldEndpointIsHeldNoLongerByVMsThatHearOfIt(t *testing.T) {
	var vms []*Tracker
	for range 3 {
		vm := NewTracker(nil)
		vm.Apply(Update{Full: true, Era: 1, Revision: 10, Items: twoEndpoints(1)}, testStart)
		vms = append(vms, vm)
	}
	vms[0].MarkStoreLost(testStart)
	vms[0].MarkStoreRestored(testStart)
	vms[0].Apply(Update{Era: 1, Revision: 11, Items: []platform.Item{inEra(1, deletedItem("b", 11))}}, testStart)
	learnAt(t, vms[1], vms[0], testStart.Add(HoldAfterRecovery-200*time.Millisecond))
	learnAt(t, vms[2], vms[1], testStart.Add(HoldAfterRecovery-100*time.Millisecond))
	for _, vm := range vms[1:] {
		end := testStart.Add(HoldAfterRecovery)
		vm.Apply(Update{Era: 1, Revision: 11, ConfirmedAt: end}, end)
		vm.Expire(end)
		wantReady(t, vm, "a")
	}
}
