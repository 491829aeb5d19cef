package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestChangeIsInForceOnAllVMs publishes several versions to three VMs, of which only one reads
// the store: each version must take effect on all VMs, and a revoked key must be rejected by
// all of them.
func TestChangeIsInForceOnAllVMs(t *testing.T) {
	f := newTestFleet(t, 3)
	configuration := hosted.DefaultConfiguration()
	for version := int64(2); version <= 6; version++ {
		configuration.Version = version
		f.store.Publish(configuration)
		f.eventually("the version is in force", func() bool {
			for _, g := range f.gateways {
				if g.configVersion() != version {
					return false
				}
			}
			return true
		})
	}
	configuration.Version = 7
	configuration.Tenants[0].Keys = []string{"other"}
	f.store.Publish(configuration)
	f.eventually("the key is revoked everywhere", func() bool {
		for i := range f.gateways {
			if f.ask(context.Background(), i+1, query{path: "/lookup/1"}).status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
}

// TestKeysAreRejectedAfterLease makes the store fail for longer than the key lease. No request
// with a key may be executed after that, public requests must still succeed, and keys must work
// again when the store is back.
func TestKeysAreRejectedAfterLease(t *testing.T) {
	f := newTestFleet(t, 2)
	f.store.SetFault(hosted.FaultUnavailable)
	lease := f.gateways[0].settings.Bounds.KeyLease
	f.eventually("the lease has expired on both VMs", func() bool {
		now := clock.Now()
		return f.gateways[0].tracker.Age(now) > lease && f.gateways[1].tracker.Age(now) > lease
	})
	for number := 1; number <= 2; number++ {
		got := f.ask(context.Background(), number, query{path: "/lookup/1"})
		if got.status != http.StatusServiceUnavailable || f.executions(got.id) != 0 || got.header.Get("Retry-After") == "" {
			t.Errorf("VM %d: status %d after %d runs", number, got.status, f.executions(got.id))
		}
		if got := f.ask(context.Background(), number, query{path: "/open/1"}); got.status != http.StatusOK {
			t.Errorf("VM %d: a public request got %d", number, got.status)
		}
		if status := f.ready(number); status != http.StatusServiceUnavailable {
			t.Errorf("VM %d: the readiness status is %d", number, status)
		}
	}
	f.store.SetFault(hosted.FaultNone)
	f.eventually("keys work again", func() bool {
		return f.ask(context.Background(), 1, query{path: "/lookup/1"}).status == http.StatusOK && f.ready(2) == http.StatusOK
	})
}

// TestLostReaderIsReplaced stops the VM that reads the store: the others must still receive a
// later change.
func TestLostReaderIsReplaced(t *testing.T) {
	f := newTestFleet(t, 3)
	var leader string
	f.eventually("the VMs agree on the reader", func() bool {
		leader = ""
		for _, g := range f.gateways {
			address, follows := g.Leader()
			if !follows {
				address = g.settings.IP
			}
			if leader != "" && leader != address {
				return false
			}
			leader = address
		}
		return len(f.gateways[0].members.Alive(clock.Now())) == 2
	})
	for i, g := range f.gateways {
		if g.settings.IP == leader {
			f.stops[i]()
		}
	}
	time.Sleep(defaultLinger + time.Second)
	f.publish(9)
	f.eventually("the others have the version", func() bool {
		for _, g := range f.gateways {
			if g.settings.IP != leader && g.configVersion() != 9 {
				return false
			}
		}
		return true
	})
}

// TestCompactedStoreIsReadAgain compacts the store's history after a change: the VM must read
// the store again to learn the change.
func TestCompactedStoreIsReadAgain(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.DeleteEndpoint("engine-1")
	f.store.Compact()
	f.eventually("the removal is known", func() bool {
		return len(f.gateways[0].tracker.Snapshot().Ready["engines"]) == 1
	})
}
