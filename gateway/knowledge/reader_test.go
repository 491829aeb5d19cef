package knowledge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/platform"
)

// item abbreviates platform.Item.
type item = platform.Item

func always() bool { return true }

func never() bool { return false }

// startReader runs a Reader. stop ends it and waits until it has ended.
func startReader(t *testing.T, reader *Reader) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		reader.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestReaderFollowsTheStore checks the full read at the start, a watch that returns a change,
// and the full read after the store has compacted its history.
func TestReaderFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		store := &fakeStore{items: []item{configurationItem(1, 1), endpointItem("a", 2)}, revision: 2}
		tracker := NewTracker(nil)
		stop := startReader(t, NewReader(store, tracker, always, never))
		time.Sleep(time.Second)
		store.put(endpointItem("b", 3))
		time.Sleep(2 * time.Second)
		if count := len(tracker.Snapshot().Endpoints); count != 2 {
			t.Errorf("%d endpoints are known, want 2", count)
		}
		before, _ := store.calls()
		store.setFail(code.New(code.SnapshotTooOld, "dropped"))
		time.Sleep(watchWait)
		store.setFail(nil)
		time.Sleep(2 * time.Second)
		if reads, _ := store.calls(); reads == before {
			t.Error("nothing was read anew")
		}
		stop()
	})
}

// TestInactiveReaderMakesNoCalls checks that a Reader that should not read makes no calls.
func TestInactiveReaderMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		store := &fakeStore{items: []item{configurationItem(1, 1)}, revision: 1}
		stop := startReader(t, NewReader(store, NewTracker(nil), never, never))
		time.Sleep(10 * time.Second)
		if reads, watches := store.calls(); reads+watches > 0 {
			t.Errorf("%d reads and %d watches", reads, watches)
		}
		stop()
	})
}

// TestLostStoreIsCalledRarely bounds the calls in 10 s to a store that rejects all, alone and
// while other VMs probe it.
func TestLostStoreIsCalledRarely(t *testing.T) {
	for others, limit := range map[bool]int{false: 20, true: 4} {
		if calls := callsToLostStore(t, others); calls > limit || calls < 2 {
			t.Errorf("others probe %v: %d calls in 10 s", others, calls)
		}
	}
}

// callsToLostStore returns the number of calls in 10 s to a store that rejects all. others
// reports whether enough other VMs probe it.
func callsToLostStore(t *testing.T, others bool) int {
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		store := &fakeStore{fail: code.New(code.PlatformRejected, "busy")}
		reader := NewReader(store, NewTracker(nil), always, func() bool { return others })
		stop := startReader(t, reader)
		time.Sleep(10 * time.Second)
		if !reader.StoreLost() {
			t.Error("the store does not count as lost")
		}
		reads, watches := store.calls()
		calls = reads + watches
		stop()
	})
	return calls
}

// TestFailedCallEndsTheSpanOfTheStore guards against a VM that tells others of a span with an outage in it.
func TestFailedCallEndsTheSpanOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clocktest.UseVirtualTime(t)
		store := &fakeStore{items: []item{configurationItem(1, 1)}, revision: 1}
		tracker := NewTracker(nil)
		stop := startReader(t, NewReader(store, tracker, always, never))
		time.Sleep(10 * time.Second)
		store.setFail(code.New(code.PlatformRejected, "busy"))
		time.Sleep(2 * time.Second)
		failing := clock.Now()
		store.setFail(nil)
		time.Sleep(4 * time.Second)
		response := tracker.SyncResponse(SyncRequest{}, clock.Now())
		if known := response.available(clock.Now(), clock.Now()); known.Since <= failing || known.Until <= known.Since {
			t.Errorf("the span begins %v after the outage and is %v long", known.Since.Sub(failing), known.Until.Sub(known.Since))
		}
		stop()
	})
}
