package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// lostChanges is the number of changes that a store loses besides those of a test. It is
	// higher than the number of changes after its return.
	lostChanges = 60
	// storeAwayTime is for how long the store is away before it comes back from a copy.
	storeAwayTime = 300 * time.Millisecond
	// rewriteTime is the time from the return until operator and endpoints have written again.
	rewriteTime = 500 * time.Millisecond
	// silentTime is for how long an operator is silent after the return.
	silentTime = 2 * time.Second
)

// newCopiedFleet starts a fleet of three VMs and returns a copy of its store from before version 2 and
// lostChanges other changes, which all VMs know.
func newCopiedFleet(t *testing.T) (*testFleet, hosted.StoreCopy) {
	t.Helper()
	f := newTestFleet(t, 3)
	contents := f.store.Copy()
	f.raiseRevision()
	f.publish(2)
	f.awaitVersion(2)
	return f, contents
}

// loseStore lets the store be away for a moment and come back from a copy.
func (f *testFleet) loseStore(contents hosted.StoreCopy) {
	f.store.SetFault(hosted.FaultReset)
	time.Sleep(storeAwayTime)
	f.store.Restore(contents)
	f.store.SetFault(hosted.FaultNone)
}

// restoreStore does the same as loseStore; then operator and endpoints write again.
func (f *testFleet) restoreStore(contents hosted.StoreCopy) {
	f.loseStore(contents)
	time.Sleep(rewriteTime)
	f.rewriteStore()
}

// rewriteStore lets operator and endpoints write again what the store has lost.
func (f *testFleet) rewriteStore() {
	f.store.RewriteConfiguration()
	f.store.RewriteEndpoints()
}

// raiseRevision raises the store's revision by lostChanges.
func (f *testFleet) raiseRevision() {
	for range lostChanges {
		f.store.Put("other/item", nil)
	}
}

// awaitVersion waits until a version is in force on all VMs.
func (f *testFleet) awaitVersion(version int64) {
	f.t.Helper()
	f.eventually("the version is in force on all VMs", func() bool {
		for _, g := range f.gateways {
			if g.configVersion() != version {
				return false
			}
		}
		return true
	})
}

// awaitReadyOnAll waits until all VMs know count endpoints of the plain service as ready.
func (f *testFleet) awaitReadyOnAll(count int) {
	f.t.Helper()
	f.eventually("all VMs know which endpoints are ready", func() bool {
		for _, g := range f.gateways {
			if len(g.tracker.Snapshot().Ready["plain"]) != count {
				return false
			}
		}
		return true
	})
}

// awaitConfirmation waits until the knowledge of all VMs is confirmed after a time.
func (f *testFleet) awaitConfirmation(after clock.Boot) {
	f.t.Helper()
	f.eventually("the knowledge of all VMs is confirmed after the return", func() bool {
		for _, g := range f.gateways {
			if at, ok := g.tracker.ConfirmedAt(); !ok || at < after {
				return false
			}
		}
		return true
	})
}

// restart stops the VM with the given number and starts it again.
func (f *testFleet) restart(number int) {
	i := number - 1
	f.stops[i]()
	<-f.done[i]
	f.done[i] <- nil // The cleanup function receives from it again.
	f.start(number)
	last := len(f.gateways) - 1
	f.gateways[i], f.stops[i], f.done[i] = f.gateways[last], f.stops[last], f.done[last]
	f.gateways, f.stops, f.done = f.gateways[:last], f.stops[:last], f.done[:last]
}

// expectUnused sends requests to all VMs: all must be served, none by the endpoint.
func (f *testFleet) expectUnused(id string) {
	f.t.Helper()
	const requests = 20
	before := f.requestCount(id)
	f.expectServedByAll(requests)
	if count := f.requestCount(id) - before; count > 0 {
		f.t.Errorf("%s got %d requests", id, count)
	}
}

// expectServedByAll sends requests to each VM: all must be served.
func (f *testFleet) expectServedByAll(requests int) {
	f.t.Helper()
	for number := 1; number <= len(f.gateways); number++ {
		for range requests {
			if got := f.ask(context.Background(), number, query{path: "/lookup/1"}); got.status != http.StatusOK {
				f.t.Errorf("VM %d: %+v", number, got)
			}
		}
	}
}
