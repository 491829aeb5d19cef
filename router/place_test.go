package router

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/placement"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// fakeOrderer implements endpoint.Orderer with in-memory engines.
type fakeOrderer struct {
	engines map[string]*standin.Orders
	onState func()
}

func (f *fakeOrderer) State(_ context.Context, address string) (endpoint.EngineState, error) {
	if f.onState != nil {
		f.onState()
	}
	return f.engines[address].State(), nil
}

func (f *fakeOrderer) Order(_ context.Context, address string, order endpoint.Order) error {
	return f.engines[address].Apply(order)
}

const placementEngines = 4

// newPlacementRouter returns the only router of a list, with engines that check
// fencing tokens if checkFence is set.
func newPlacementRouter(t *testing.T, checkFence bool) (*Router, *fakeOrderer) {
	t.Helper()
	orders := &fakeOrderer{engines: map[string]*standin.Orders{}}
	s := settings.Defaults()
	s.Peers = "127.0.0.1:7001"
	r, err := New(Options{Settings: &s, Orderer: orders})
	if err != nil {
		t.Fatal(err)
	}
	vms := []source.VM{{Address: s.Peers, Role: source.RoleRouter, State: source.StateLive}}
	for i := range placementEngines {
		address := fmt.Sprintf("127.0.1.%d:7200", i+1)
		orders.engines[address] = standin.NewOrders(checkFence)
		vms = append(vms, source.VM{Address: address, Role: source.RoleEngine, Group: "g", State: source.StateLive})
	}
	r.members.SetList(source.VMList{Version: 1, VMs: vms}, time.Now())
	return r, orders
}

func declare(r *Router, version int64, document string) {
	r.store.Apply([]source.Document{{Key: "models/m", Version: version, Data: []byte(document)}}, version)
}

// runPlacementRounds runs enough placement rounds to load every model.
func runPlacementRounds(r *Router) {
	for range 60 {
		r.placeOnce(context.Background(), time.Now())
		time.Sleep(time.Second)
	}
}

func loadedVersions(orders *fakeOrderer) []string {
	var versions []string
	for _, engine := range orders.engines {
		for _, model := range engine.State().Models {
			versions = append(versions, model.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// TestEnginesFollowTheDeclaration checks that engines load the declared version of
// a model on the declared number of engines.
func TestEnginesFollowTheDeclaration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, orders := newPlacementRouter(t, true)
		declare(r, 1, `{"group": "g", "version": "1", "min": 2, "max": 3}`)
		runPlacementRounds(r)
		if got := loadedVersions(orders); !slices.Equal(got, []string{"1", "1"}) {
			t.Errorf("after the first declaration: %v", got)
		}
		declare(r, 2, `{"group": "g", "version": "2", "min": 3, "max": 3}`)
		runPlacementRounds(r)
		if got := loadedVersions(orders); !slices.Equal(got, []string{"2", "2", "2"}) {
			t.Errorf("after the second declaration: %v", got)
		}
	})
}

// TestOldOrderIsPutRight sends engines an outdated order. Engines that check
// fencing tokens reject it; the others must be corrected by the next round.
func TestOldOrderIsPutRight(t *testing.T) {
	for _, checkFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checkFence=%t", checkFence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, orders := newPlacementRouter(t, checkFence)
				declare(r, 7, `{"group": "g", "version": "2"}`)
				runPlacementRounds(r)
				old := endpoint.Order{Fence: 6 << 24, Models: []endpoint.LoadedModel{{Model: "m", Version: "1"}}}
				for address := range orders.engines {
					orders.Order(context.Background(), address, old)
				}
				runPlacementRounds(r)
				if got := loadedVersions(orders); !slices.Equal(got, []string{"2", "2", "2", "2"}) {
					t.Errorf("loaded versions: %v", got)
				}
			})
		})
	}
}

// TestSuspendedRouterDropsItsPlan suspends the router between reading an engine's state and
// sending the order, which must then be dropped.
func TestSuspendedRouterDropsItsPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, orders := newPlacementRouter(t, false)
		declare(r, 1, `{"group": "g", "version": "1"}`)
		r.placer.weightStoreLimiter.Allow(1)
		time.Sleep(time.Minute)
		orders.onState = func() { time.Sleep(20 * time.Second) }
		r.placeOnce(context.Background(), time.Now())
		for address, engine := range orders.engines {
			if accepted := engine.Counts().Accepted; accepted != 0 {
				t.Errorf("%s took %d orders", address, accepted)
			}
		}
	})
}

// TestPushedDeclarationRaisesTheFence checks that an order for a declaration which
// a peer pushed ahead of the router's own revision has a higher fencing token than
// the orders for the previous declaration.
func TestPushedDeclarationRaisesTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, orders := newPlacementRouter(t, true)
		declare(r, 3, `{"group": "g", "version": "1"}`)
		runPlacementRounds(r)
		pushed := source.Document{Key: "models/m", Version: 9, Data: []byte(`{"group": "g", "version": "2"}`)}
		r.store.Apply([]source.Document{pushed}, 3)
		runPlacementRounds(r)
		for address, engine := range orders.engines {
			if fence := engine.State().Fence; fence < placement.FencingToken(9, 0) {
				t.Errorf("%s has the fencing token %d", address, fence)
			}
		}
	})
}
