package knowledge

import (
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/platform"
)

// cutTimes are the waits after which a store cuts watches.
var cutTimes = []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, watchWait - time.Millisecond}

// forEachCutTime runs a test in virtual time for each of cutTimes.
func forEachCutTime(t *testing.T, run func(t *testing.T, after time.Duration)) {
	for _, after := range cutTimes {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clocktest.UseVirtualTime(t)
				run(t, after)
			})
		})
	}
}

// TestRemovalIsInForceWhileTheStoreCutsWatches guards against requests that go on to an endpoint after its entry was removed, since cut watches count as an outage.
func TestRemovalIsInForceWhileTheStoreCutsWatches(t *testing.T) {
	forEachCutTime(t, func(t *testing.T, after time.Duration) {
		store := &fakeStore{items: []item{configurationItem(1, 1), endpointItem("a", 2), endpointItem("b", 3)}, revision: 3, cutAfter: after}
		tracker := NewTracker(nil)
		reader := NewReader(store, tracker, always, never)
		stop := startReader(t, reader)
		time.Sleep(2 * time.Second)
		store.put(deletedItem("a", 4))
		time.Sleep(time.Second)
		if tracker.Snapshot().Endpoints["a"] != nil {
			t.Error("a removed endpoint is still in use after a second")
		}
		if reader.StoreLost() {
			t.Error("the store counts as lost")
		}
		stop()
	})
}

// TestDataAreConfirmedWhileTheStoreCutsWatches guards against VMs that refuse all requests with keys since no watch is ever answered.
func TestDataAreConfirmedWhileTheStoreCutsWatches(t *testing.T) {
	forEachCutTime(t, func(t *testing.T, after time.Duration) {
		store := &fakeStore{items: []item{configurationItem(1, 1)}, revision: 1, cutAfter: after}
		tracker := NewTracker(nil)
		stop := startReader(t, NewReader(store, tracker, always, never))
		time.Sleep(time.Second)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if age := tracker.Age(clock.Now()); age > StaleAfter {
				t.Fatalf("the data were last confirmed %v ago", age)
			}
		}
		const seconds, maxPerSecond = 21, 20
		if reads, watches := store.calls(); reads+watches > seconds*maxPerSecond {
			t.Errorf("%d reads and %d watches in %d s, want at most %d a second", reads, watches, seconds, maxPerSecond)
		}
		stop()
	})
}

// TestOutageThatBeginsWithACutIsNoticed guards against entries that are dropped since the outage in which they expired went unnoticed.
func TestOutageThatBeginsWithACutIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		store := &fakeStore{items: []item{configurationItem(1, 1), endpointItem("a", 2)}, revision: 2}
		tracker := NewTracker(nil)
		reader := NewReader(store, tracker, always, never)
		stop := startReader(t, reader)
		time.Sleep(2 * time.Second)
		store.setFail(code.Wrap(platform.ErrCut, code.PlatformSilent, "the store does not answer"))
		time.Sleep(3 * time.Second)
		if !reader.StoreLost() {
			t.Error("the store does not count as lost")
		}
		store.put(deletedItem("a", 3))
		store.setFail(nil)
		time.Sleep(time.Second)
		if tracker.Snapshot().Endpoints["a"] == nil {
			t.Error("an endpoint is dropped that could not renew its entry")
		}
		stop()
	})
}

// TestOutageEndsThoughTheStoreCutsWatches guards against VMs that take a store for lost for ever, since it cuts watches after an outage.
func TestOutageEndsThoughTheStoreCutsWatches(t *testing.T) {
	forEachCutTime(t, func(t *testing.T, after time.Duration) {
		store := &fakeStore{items: []item{configurationItem(1, 1)}, revision: 1, cutAfter: after}
		tracker := NewTracker(nil)
		reader := NewReader(store, tracker, always, never)
		stop := startReader(t, reader)
		time.Sleep(time.Second)
		store.setFail(code.New(code.PlatformRejected, "busy"))
		time.Sleep(3 * time.Second)
		store.setFail(nil)
		time.Sleep(maxRetryPause + 2*watchWait)
		if reader.StoreLost() {
			t.Error("the store counts as lost")
		}
		stop()
	})
}
