package gateway

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestConfigurationsAreInForceAfterStoreIsRestored lets the store return from a copy twice, and publishes versions after each return.
func TestConfigurationsAreInForceAfterStoreIsRestored(t *testing.T) {
	f := newTestFleet(t, 3)
	for _, version := range []int64{10, 20} {
		f.publish(version)
		f.awaitVersion(version)
		contents := f.store.Copy()
		f.raiseRevision()
		f.publish(version + 1)
		f.awaitVersion(version + 1)
		f.restoreStore(contents)
		for next := version + 2; next < version+5; next++ {
			f.publish(next)
			f.awaitVersion(next)
		}
	}
}

// TestUnreadVersionIsInForceAfterStoreIsRestored lets the store lose a version before any VM has read it.
func TestUnreadVersionIsInForceAfterStoreIsRestored(t *testing.T) {
	f, contents := newCopiedFleet(t)
	f.store.SetFault(hosted.FaultReset)
	f.publish(3)
	f.restoreStore(contents)
	f.awaitVersion(3)
}

// TestOldVersionOfRestoredStoreIsNotInForce has the operator silent for a while after the return: no VM may go back.
func TestOldVersionOfRestoredStoreIsNotInForce(t *testing.T) {
	f := newTestFleet(t, 3)
	contents := f.store.Copy()
	f.publish(2)
	f.awaitVersion(2)
	returned := clock.Now()
	f.loseStore(contents)
	for clock.Now().Sub(returned) < silentTime {
		for i, g := range f.gateways {
			if version := g.configVersion(); version != 2 {
				t.Fatalf("VM %d has gone back to version %d", i+1, version)
			}
		}
		time.Sleep(time.Millisecond)
	}
	f.rewriteStore()
	f.publish(3)
	f.awaitVersion(3)
}

// TestRestartedVMDoesNotGoBackAfterStoreIsRestored restarts a VM before the operator has written again: it must learn the newer version from the others.
func TestRestartedVMDoesNotGoBackAfterStoreIsRestored(t *testing.T) {
	for number := 1; number <= 3; number++ {
		f, contents := newCopiedFleet(t)
		f.loseStore(contents)
		f.restart(number)
		f.awaitVersion(2)
		f.rewriteStore()
		f.publish(3)
		f.awaitVersion(3)
	}
}

// TestDrainingEndpointIsNoticedAfterStoreIsRestored lets an endpoint drain after the return, whose newest known entry was lost.
func TestDrainingEndpointIsNoticedAfterStoreIsRestored(t *testing.T) {
	f := newTestFleet(t, 3)
	contents := f.store.Copy()
	f.raiseRevision()
	address := f.address(110, workerPort)
	f.store.PutEndpoint("plain-1", "plain", address, "draining")
	f.awaitReadyOnAll(1)
	f.store.PutEndpoint("plain-1", "plain", address, "ready")
	f.awaitReadyOnAll(2)
	f.restoreStore(contents)
	f.store.PutEndpoint("plain-1", "plain", address, "draining")
	f.awaitReadyOnAll(1)
	f.expectUnused("plain-1")
}

// TestLeavingEndpointIsNoticedAfterStoreIsRestored removes an entry after the return.
func TestLeavingEndpointIsNoticedAfterStoreIsRestored(t *testing.T) {
	f := newTestFleet(t, 3)
	contents := f.store.Copy()
	f.raiseRevision()
	f.store.PutEndpoint("plain-1", "plain", f.address(110, workerPort), "ready")
	f.publish(2)
	f.awaitVersion(2)
	f.restoreStore(contents)
	f.store.DeleteEndpoint("plain-1")
	f.awaitReadyOnAll(1)
	f.expectUnused("plain-1")
}

// TestDrainingEndpointStaysOutOfUseAfterStoreIsRestored lets the copy have an endpoint as ready that is known to drain.
func TestDrainingEndpointStaysOutOfUseAfterStoreIsRestored(t *testing.T) {
	f := newTestFleet(t, 3)
	contents := f.store.Copy()
	f.store.PutEndpoint("plain-1", "plain", f.address(110, workerPort), "draining")
	f.awaitReadyOnAll(1)
	returned := clock.Now()
	f.loseStore(contents)
	time.Sleep(rewriteTime)
	f.expectUnused("plain-1")
	f.rewriteStore()
	f.awaitConfirmation(returned.Add(storeAwayTime))
	f.expectUnused("plain-1")
}

// TestRemovedEndpointStaysRemovedAfterStoreIsRestored lets the copy have an endpoint that has left: it must stay unused until its entry expires.
func TestRemovedEndpointStaysRemovedAfterStoreIsRestored(t *testing.T) {
	f := newTestFleet(t, 3)
	contents := f.store.Copy()
	f.store.DeleteEndpoint("plain-1")
	f.awaitReadyOnAll(1)
	f.restoreStore(contents)
	f.expectUnused("plain-1")
	returned := clock.Now()
	f.publish(2)
	f.awaitVersion(2)
	f.awaitConfirmation(returned)
	f.expectUnused("plain-1")
	f.store.ExpireEndpoint("plain-1")
	f.publish(3)
	f.awaitVersion(3)
	f.expectUnused("plain-1")
}

// TestRestartedEndpointIsUsedAfterStoreIsRestored restarts an endpoint under its ID after the return; its counts start anew.
func TestRestartedEndpointIsUsedAfterStoreIsRestored(t *testing.T) {
	f := newTestFleet(t, 3)
	address := f.address(110, workerPort)
	contents := f.store.Copy()
	f.raiseRevision()
	f.store.PutEndpoint("plain-1", "plain", address, "ready")
	f.store.PutEndpoint("plain-1", "plain", address, "draining")
	f.awaitReadyOnAll(1)
	f.store.DeleteEndpoint("plain-1")
	f.restoreStore(contents)
	f.store.RestartEndpoint("plain-1")
	f.awaitReadyOnAll(2)
}

// TestNewEndpointIsUsedAfterStoreIsRestored starts an endpoint after the return, which gets a lower revision than the known ones.
func TestNewEndpointIsUsedAfterStoreIsRestored(t *testing.T) {
	f, contents := newCopiedFleet(t)
	f.restoreStore(contents)
	f.addEndpoint("plain-3", "plain", 112)
	f.awaitReadyOnAll(3)
}

// TestKeysAreServedAfterStoreIsRestored waits until knowledge from before the return would be too old for keys.
func TestKeysAreServedAfterStoreIsRestored(t *testing.T) {
	f, contents := newCopiedFleet(t)
	f.restoreStore(contents)
	returned := clock.Now()
	f.awaitConfirmation(returned.Add(f.gateways[0].settings.Bounds.KeyLease))
	f.expectServedByAll(1)
}

// TestChangesUnderReusedRevisionsAreReadAfterStoreIsRestored gives out all lost revisions again before any VM reads, so that no watch gets 410.
func TestChangesUnderReusedRevisionsAreReadAfterStoreIsRestored(t *testing.T) {
	f := newTestFleet(t, 3)
	contents := f.store.Copy()
	f.publish(2)
	f.awaitVersion(2)
	f.store.SetFault(hosted.FaultReset)
	time.Sleep(storeAwayTime)
	f.store.Restore(contents)
	f.addEndpoint("plain-3", "plain", 112)
	f.rewriteStore()
	f.raiseRevision()
	f.store.SetFault(hosted.FaultNone)
	f.awaitReadyOnAll(3)
}
