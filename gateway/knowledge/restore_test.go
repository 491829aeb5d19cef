package knowledge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/platform"
)

// TestReaderMissesNoChangeAcrossRestore lets the store pass the reader's position again between
// two watches: the reader must notice the new era and read everything.
func TestReaderMissesNoChangeAcrossRestore(t *testing.T) {
	for passed := range 4 {
		synctest.Test(t, func(t *testing.T) {
			clocktest.UseVirtualTime(t)
			store, tracker := newModelStore(), NewTracker(nil)
			store.write(configurationItem(1, 0))
			copied := store.copy()
			store.write(configurationItem(2, 0))
			store.write(entryItem("a", traffic.Position{}, 1, 1, "ready"))
			stop := startReader(t, NewReader(store, tracker, always, never))
			time.Sleep(time.Second)
			store.restore(copied)
			store.write(configurationItem(3, 0))
			for number := range passed {
				store.write(entryItem(fmt.Sprint("b", number), traffic.Position{}, 1, 1, "ready"))
			}
			time.Sleep(2*watchWait + time.Second)
			snapshot := tracker.Snapshot()
			if snapshot.Configuration.Version != 3 || tracker.Position() != store.position() {
				t.Errorf("version %d at %v, want 3 at %v", snapshot.Configuration.Version, tracker.Position(), store.position())
			}
			for number := range passed {
				if snapshot.Endpoints[fmt.Sprint("b", number)] == nil {
					t.Errorf("%d writes after the restore: endpoint b%d is missing", passed, number)
				}
			}
			stop()
		})
	}
}

// TestRestoredStoreIsConfirmedOnceTheOperatorHadTimeToWrite bounds the time without a confirmation, in which keys are refused.
func TestRestoredStoreIsConfirmedOnceTheOperatorHadTimeToWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		store, tracker := newModelStore(), NewTracker(nil)
		store.write(configurationItem(1, 0))
		stop := startReader(t, NewReader(store, tracker, always, never))
		time.Sleep(time.Second)
		store.restore(store.copy())
		restored := clock.Now()
		for tracker.Position().Era < 2 {
			time.Sleep(time.Millisecond)
		}
		began := clock.Now()
		for at, _ := tracker.ConfirmedAt(); at < restored; at, _ = tracker.ConfirmedAt() {
			time.Sleep(time.Millisecond)
		}
		if took := clock.Now().Sub(began); took < rewriteTime || took > rewriteTime+3*minWatchWait {
			t.Errorf("confirmed %v after the beginning of the era, want %v", took, rewriteTime)
		}
		stop()
	})
}

// endpointModel is an endpoint that writes its entry: at its start, when its state changes, and
// when a heartbeat finds another entry in the store.
type endpointModel struct {
	id                  string
	startedMS, sequence int64
	state               string
	alive               bool
}

// heartbeat writes the entry if the store's is not the last one that was written.
func (e *endpointModel) heartbeat(store *modelStore) {
	if !e.alive {
		return
	}
	entry := entryItem(e.id, traffic.Position{}, e.startedMS, e.sequence, e.state)
	if string(store.items[entry.Key].Value) != string(entry.Value) {
		e.sequence++
		store.write(entryItem(e.id, traffic.Position{}, e.startedMS, e.sequence, e.state))
	}
}

// fleetModel is a fleet of Trackers before a store that is lost and restored.
type fleetModel struct {
	store     *modelStore
	copies    []storeCopy
	version   int64
	endpoints []*endpointModel
	vms       []*Tracker
	now       clock.Boot
}

func newFleetModel() *fleetModel {
	f := &fleetModel{store: newModelStore(), version: 1, now: testStart}
	f.store.write(configurationItem(1, 0))
	for _, id := range []string{"a", "b", "c", "d"} {
		f.endpoints = append(f.endpoints, &endpointModel{id: id, startedMS: 1, state: "ready", alive: true})
	}
	f.heartbeats()
	for range 5 {
		vm := NewTracker(nil)
		vm.Apply(f.store.readAll(f.now), f.now)
		f.vms = append(f.vms, vm)
	}
	f.copies = append(f.copies, f.store.copy())
	return f
}

func (f *fleetModel) heartbeats() {
	for _, endpoint := range f.endpoints {
		endpoint.heartbeat(f.store)
	}
}

// changeEndpoint stops, starts or drains an endpoint.
func (f *fleetModel) changeEndpoint(t *rapid.T) {
	endpoint := rapid.SampledFrom(f.endpoints).Draw(t, "endpoint")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		endpoint.alive = false
		f.store.write(platform.Item{Key: platform.EndpointPrefix + endpoint.id, Deleted: true})
	case 1:
		endpoint.alive, endpoint.state = true, "ready"
		endpoint.startedMS, endpoint.sequence = endpoint.startedMS+1, 0
	default:
		endpoint.state = "draining"
	}
	endpoint.heartbeat(f.store)
}

// step makes one random change, or lets one VM learn.
func (f *fleetModel) step(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
	at := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		f.version++
		f.store.write(configurationItem(f.version, 0))
	case 1:
		f.changeEndpoint(t)
	case 2:
		f.copies = append(f.copies, f.store.copy())
	case 3:
		f.store.restore(rapid.SampledFrom(f.copies).Draw(t, "copy"))
		if rapid.Bool().Draw(t, "written again") {
			f.writeAgain()
		}
	case 4:
		f.vms[at].Apply(f.store.readAll(f.now), f.now)
	case 5:
		f.vms[at] = NewTracker(nil)
	case 6:
		f.vms[at].Expire(f.now)
	default:
		f.vms[at].syncFrom(t, rapid.SampledFrom(f.vms).Draw(t, "peer"), f.now)
	}
}

// writeAgain lets the operator and the endpoints write what the store has lost, and lets the entries
// of stopped endpoints expire.
func (f *fleetModel) writeAgain() {
	f.store.write(configurationItem(f.version, 0))
	f.heartbeats()
	for _, endpoint := range f.endpoints {
		if !endpoint.alive {
			f.store.write(platform.Item{Key: platform.EndpointPrefix + endpoint.id, Deleted: true})
		}
	}
}

// settle brings all VMs up to the store, the first one by reading and the others through it. The last
// read begins after all times of unsettled entries.
func (f *fleetModel) settle(t *rapid.T) {
	f.writeAgain()
	for range 3 {
		f.vms[0].Apply(f.store.readAll(f.now), f.now)
		f.vms[0].Expire(f.now)
		for _, vm := range f.vms[1:] {
			vm.syncFrom(t, f.vms[0], f.now)
			vm.Expire(f.now)
		}
		f.now = f.now.Add(HoldAfterRecovery + defaultEntryLifetime)
	}
}

// TestFleetAgreesWithRestoredStore plays changes, restores, restarts and syncs between VMs in random
// order: no VM's version goes back, and in the end all know what the store has.
func TestFleetAgreesWithRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel()
		inForce := map[*Tracker]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.step(t)
			for _, vm := range f.vms {
				version := vm.SyncRequest().ConfigurationVersion
				if version < inForce[vm] {
					t.Fatalf("version %d after %d", version, inForce[vm])
				}
				inForce[vm] = version
			}
		}
		f.settle(t)
		for number, vm := range f.vms {
			f.compare(t, number, vm.Snapshot())
		}
	})
}

// compare fails unless a VM knows what the store has.
func (f *fleetModel) compare(t *rapid.T, number int, snapshot *Snapshot) {
	if snapshot.Configuration.Version != f.version {
		t.Errorf("VM %d has version %d, want %d", number, snapshot.Configuration.Version, f.version)
	}
	for _, endpoint := range f.endpoints {
		known := snapshot.Endpoints[endpoint.id]
		if (known != nil) != endpoint.alive {
			t.Errorf("VM %d: endpoint %s is known: %v, alive: %v", number, endpoint.id, known != nil, endpoint.alive)
			continue
		}
		if known != nil && (known.Draining != (endpoint.state == "draining") || known.StartedMS != endpoint.startedMS) {
			t.Errorf("VM %d: endpoint %s is started %d, draining %v, want %d, %s", number, endpoint.id, known.StartedMS, known.Draining, endpoint.startedMS, endpoint.state)
		}
	}
}
