package knowledge

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// inEra returns the item with another era.
func inEra(era int64, item platform.Item) platform.Item {
	item.Era = era
	return item
}

// entryItem returns the entry that an endpoint of a start time writes as its sequence-th one.
func entryItem(id string, at traffic.Position, startedMS, sequence int64, state string) platform.Item {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","coldLeftMs":0,"slots":4,"state":%q,"born":%d,"sequence":%d}`, state, startedMS, sequence)
	return platform.Item{Key: platform.EndpointPrefix + id, Value: []byte(value), Era: at.Era, Revision: at.Revision}
}

// restoredTracker returns a Tracker at revision 50 of era 1, with version 9 of the configuration, and
// the endpoints "ready", "draining" and "late"; "gone" was removed.
func restoredTracker() *Tracker {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, ConfirmedAt: testStart, Items: []platform.Item{
		inEra(1, configurationItem(5, 1)),
		entryItem("ready", traffic.Position{Era: 1, Revision: 2}, 7, 1, "ready"),
		entryItem("draining", traffic.Position{Era: 1, Revision: 3}, 7, 1, "ready"),
		entryItem("gone", traffic.Position{Era: 1, Revision: 4}, 7, 1, "ready"),
	}}, testStart)
	tracker.Apply(Update{Era: 1, Revision: 50, ConfirmedAt: testStart, Items: []platform.Item{
		inEra(1, configurationItem(9, 20)),
		entryItem("draining", traffic.Position{Era: 1, Revision: 21}, 7, 5, "draining"),
		inEra(1, deletedItem("gone", 22)),
		entryItem("late", traffic.Position{Era: 1, Revision: 50}, 7, 1, "ready"),
	}}, testStart)
	return tracker
}

// copyUpdate returns the full read of the copy at revision 10, in era 2.
func copyUpdate() Update {
	return Update{Full: true, Era: 2, Revision: 10, ConfirmedAt: testStart.Add(time.Second), Items: []platform.Item{
		inEra(2, configurationItem(5, 1)),
		entryItem("ready", traffic.Position{Era: 2, Revision: 2}, 7, 1, "ready"),
		entryItem("draining", traffic.Position{Era: 2, Revision: 3}, 7, 1, "ready"),
		entryItem("gone", traffic.Position{Era: 2, Revision: 4}, 7, 1, "ready"),
	}}
}

func wantReady(t *testing.T, tracker *Tracker, want ...string) {
	t.Helper()
	var got []string
	for _, endpoint := range tracker.Snapshot().Ready["s"] {
		got = append(got, endpoint.ID)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("ready are %v, want %v", got, want)
	}
}

// readNothing lets a VM read at a time that nothing has changed, and settle what is due.
func readNothing(tracker *Tracker, at clock.Boot) {
	known := tracker.Position()
	tracker.Apply(Update{Era: known.Era, Revision: known.Revision, ConfirmedAt: at}, at)
	tracker.Expire(at)
}

// TestConfigurationsAreAppliedAfterRestore publishes at revisions that the store had before.
func TestConfigurationsAreAppliedAfterRestore(t *testing.T) {
	tracker := restoredTracker()
	now := testStart.Add(time.Second)
	tracker.Apply(copyUpdate(), now)
	if version := tracker.Snapshot().Configuration.Version; version != 9 {
		t.Errorf("version %d is in force, want 9", version)
	}
	tracker.Apply(Update{Era: 2, Revision: 11, Items: []platform.Item{inEra(2, configurationItem(12, 11))}}, now)
	if version := tracker.Snapshot().Configuration.Version; version != 12 {
		t.Errorf("version %d is in force, want 12", version)
	}
}

// TestRestoredStoreConfirmsKnowledge checks that keys do not expire while the store is below its old
// revision.
func TestRestoredStoreConfirmsKnowledge(t *testing.T) {
	tracker := restoredTracker()
	update := copyUpdate()
	tracker.Apply(update, update.ConfirmedAt)
	read := update.ConfirmedAt.Add(rewriteTime)
	tracker.Apply(Update{Era: 2, Revision: update.Revision, ConfirmedAt: read}, read)
	if at, _ := tracker.ConfirmedAt(); at != read {
		t.Errorf("the data was confirmed %v before the read", read.Sub(at))
	}
}

// TestRestoredCopyBringsNoEndpointBack checks that endpoints that drain or were removed get no work
// by an old entry, and that those the copy lacks are held.
func TestRestoredCopyBringsNoEndpointBack(t *testing.T) {
	tracker := restoredTracker()
	now := testStart.Add(time.Second)
	tracker.Apply(copyUpdate(), now)
	wantReady(t, tracker, "late", "ready")
	readNothing(tracker, now.Add(HoldAfterRecovery))
	wantReady(t, tracker, "ready")
}

// TestEndpointsWriteAgainAfterRestore lets endpoints write again: the newer entries hold at once.
func TestEndpointsWriteAgainAfterRestore(t *testing.T) {
	tracker := restoredTracker()
	now := testStart.Add(time.Second)
	tracker.Apply(copyUpdate(), now)
	tracker.Apply(Update{Era: 2, Revision: 14, Items: []platform.Item{
		entryItem("draining", traffic.Position{Era: 2, Revision: 11}, 7, 6, "draining"),
		entryItem("gone", traffic.Position{Era: 2, Revision: 12}, 8, 1, "ready"),
		entryItem("late", traffic.Position{Era: 2, Revision: 13}, 7, 1, "ready"),
		entryItem("ready", traffic.Position{Era: 2, Revision: 14}, 7, 9, "draining"),
	}}, now)
	readNothing(tracker, now.Add(time.Minute))
	wantReady(t, tracker, "gone", "late")
	if unsettled := tracker.Unsettled(); len(unsettled) > 0 {
		t.Errorf("unsettled are %v", unsettled)
	}
}

// TestExpiredEndpointThatRegistersAgainAfterRestoreIsUsed lets the entry of a live endpoint expire before the restore from a copy without it.
func TestExpiredEndpointThatRegistersAgainAfterRestoreIsUsed(t *testing.T) {
	tracker := restoredTracker()
	now := testStart.Add(time.Second)
	lacking := copyUpdate()
	lacking.Items = lacking.Items[:3]
	tracker.Apply(lacking, now)
	tracker.Apply(Update{Era: 2, Revision: 11, Items: []platform.Item{entryItem("gone", traffic.Position{Era: 2, Revision: 11}, 7, 2, "ready")}}, now)
	wantReady(t, tracker, "gone", "late", "ready")
}

// TestRestartedEndpointIsUsedByVMThatOnlyHeardOfItsDeletion lets a VM start between the end of an endpoint and the restore, in which the endpoint starts again.
func TestRestartedEndpointIsUsedByVMThatOnlyHeardOfItsDeletion(t *testing.T) {
	started := NewTracker(nil)
	learn(t, started, restoredTracker())
	now := testStart.Add(time.Second)
	update := copyUpdate()
	update.Revision = 11
	update.Items[3] = entryItem("gone", traffic.Position{Era: 2, Revision: 11}, 8, 1, "ready")
	started.Apply(update, now)
	wantReady(t, started, "gone", "late", "ready")
}

// TestDoubtedEntryThatStandsIsAccepted keeps an old entry in the store: its endpoint is alive and has
// nothing new to write.
func TestDoubtedEntryThatStandsIsAccepted(t *testing.T) {
	tracker := restoredTracker()
	tracker.SetEntryLifetime(3 * time.Second)
	now := testStart.Add(time.Second)
	tracker.Apply(copyUpdate(), now)
	readNothing(tracker, now.Add(HoldAfterRecovery+3*time.Second-time.Millisecond))
	wantReady(t, tracker, "ready")
	readNothing(tracker, now.Add(HoldAfterRecovery+3*time.Second))
	wantReady(t, tracker, "draining", "gone", "ready")
}

// TestDoubtedEntryIsNotAcceptedWhileAnOutageKeepsItFromExpiring lets the store be away again before the entries of endpoints that are gone have expired.
func TestDoubtedEntryIsNotAcceptedWhileAnOutageKeepsItFromExpiring(t *testing.T) {
	reader, follower := restoredTracker(), restoredTracker()
	reader.Apply(copyUpdate(), testStart)
	learn(t, follower, reader)
	reader.MarkStoreLost(testStart)
	back := testStart.Add(4 * time.Second)
	reader.MarkStoreRestored(back)
	learnAt(t, follower, reader, back)
	now := back.Add(HoldAfterRecovery + defaultEntryLifetime - time.Millisecond)
	readNothing(reader, now)
	readNothing(follower, now)
	wantReady(t, reader, "ready")
	wantReady(t, follower, "ready")
	readNothing(reader, now.Add(time.Millisecond))
	wantReady(t, reader, "draining", "gone", "ready")
}

// TestDoubtedEntryThatExpiresIsForgotten lets the store remove the entry of an endpoint that is gone.
func TestDoubtedEntryThatExpiresIsForgotten(t *testing.T) {
	tracker := restoredTracker()
	now := testStart.Add(time.Second)
	tracker.Apply(copyUpdate(), now)
	tracker.Apply(Update{Era: 2, Revision: 11, Items: []platform.Item{inEra(2, deletedItem("gone", 11))}}, now.Add(4*time.Second))
	readNothing(tracker, now.Add(time.Minute))
	wantReady(t, tracker, "draining", "ready")
}

// TestEarlierEraBringsOnlyItsConfiguration lets a VM that read the copy sync with one that has not
// heard of the restore.
func TestEarlierEraBringsOnlyItsConfiguration(t *testing.T) {
	started := NewTracker(nil)
	started.Apply(copyUpdate(), testStart)
	response := restoredTracker().SyncResponse(started.SyncRequest(), testStart)
	update, err := response.update(testStart, testStart)
	if err != nil {
		t.Fatal(err)
	}
	started.Apply(update, testStart)
	if snapshot := started.Snapshot(); snapshot.Configuration.Version != 9 || len(snapshot.Endpoints) != 3 {
		t.Errorf("version %d with %d endpoints, want 9 with 3", snapshot.Configuration.Version, len(snapshot.Endpoints))
	}
}

// TestCopyDoesNotConfirmWhatItMayLack lets a VM that missed the store's last changes read a copy from before them.
func TestCopyDoesNotConfirmWhatItMayLack(t *testing.T) {
	tracker := NewTracker(nil)
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, ConfirmedAt: testStart, Items: []platform.Item{inEra(1, configurationItem(5, 1))}}, testStart)
	read := testStart.Add(6 * time.Second)
	tracker.Apply(Update{Full: true, Era: 2, Revision: 10, ConfirmedAt: read, Items: []platform.Item{inEra(2, configurationItem(5, 1))}}, read)
	if at, _ := tracker.ConfirmedAt(); at > testStart {
		t.Errorf("a key that version 6 revoked %v before would be accepted", read.Sub(testStart))
	}
}

// TestCopyHeardOfFromPeersDoesNotConfirm lets a VM that missed the store's last changes hear of the new era before it reads the copy itself.
func TestCopyHeardOfFromPeersDoesNotConfirm(t *testing.T) {
	tracker := NewTracker(nil)
	items := func(era int64) []platform.Item { return []platform.Item{inEra(era, configurationItem(5, 1))} }
	tracker.Apply(Update{Full: true, Era: 1, Revision: 10, ConfirmedAt: testStart, Items: items(1)}, testStart)
	heard := testStart.Add(6 * time.Second)
	tracker.Apply(Update{Full: true, Era: 2, Revision: 10, ConfirmedAt: testStart, DeletionsFinal: true, Items: items(2)}, heard)
	read := heard.Add(500 * time.Millisecond)
	tracker.Apply(Update{Full: true, Era: 2, Revision: 10, ConfirmedAt: read, Items: items(2)}, read)
	if at, _ := tracker.ConfirmedAt(); at > testStart {
		t.Errorf("a key that version 6 revoked %v before would be accepted", read.Sub(testStart))
	}
	late := heard.Add(rewriteTime)
	tracker.Apply(Update{Era: 2, Revision: 10, ConfirmedAt: late}, late)
	if at, _ := tracker.ConfirmedAt(); at != late {
		t.Errorf("confirmed at %v, want %v", at, late)
	}
}

// TestVMThatStartsAfterRestoreDoesNotAcceptWithdrawnKeys starts a VM alone, and beside one of the same era, that then reads the copy.
func TestVMThatStartsAfterRestoreDoesNotAcceptWithdrawnKeys(t *testing.T) {
	for name, running := range map[string]*Tracker{"alone": NewTracker(nil), "beside another": restoredTracker()} {
		started := NewTracker(nil)
		running.Apply(copyUpdate(), testStart)
		if name != "alone" {
			learn(t, started, running)
		}
		started.Apply(copyUpdate(), copyUpdate().ConfirmedAt)
		if at, _ := started.ConfirmedAt(); at > testStart {
			t.Errorf("%s: a key that was withdrawn before the loss would be accepted", name)
		}
	}
}

// TestEntryOfEarlierCopyIsNotDoubtedUntilItCounts lets a VM that took over an entry of a copy tell it after the next restore, whose copy lacks it.
func TestEntryOfEarlierCopyIsNotDoubtedUntilItCounts(t *testing.T) {
	tracker := restoredTracker()
	now := testStart.Add(time.Second)
	tracker.Apply(Update{Full: true, Era: 3, Revision: 10, Items: []platform.Item{
		entryItem("ready", traffic.Position{Era: 3, Revision: 2}, 7, 1, "ready"),
	}}, now)
	gone := entryItem("gone", traffic.Position{Era: 2, Revision: 4}, 7, 1, "ready")
	tracker.Apply(Update{Era: 3, Revision: 10, Items: []platform.Item{gone}, DeletionsFinal: true}, now)
	later := now.Add(time.Minute)
	tracker.Apply(Update{Era: 3, Revision: 11, ConfirmedAt: later}, later)
	tracker.Expire(later)
	wantReady(t, tracker, "ready")
}

// TestCopyBringsNoEndpointBackThatThisVMKnewByAnOlderEntry lets the copy hold a later entry of a removed endpoint than the VM knew.
func TestCopyBringsNoEndpointBackThatThisVMKnewByAnOlderEntry(t *testing.T) {
	tracker := restoredTracker()
	update := copyUpdate()
	update.Items[3] = entryItem("gone", traffic.Position{Era: 2, Revision: 4}, 7, 3, "ready")
	tracker.Apply(update, testStart.Add(time.Second))
	wantReady(t, tracker, "late", "ready")
}
