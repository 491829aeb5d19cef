package router

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/router/homes"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/settings"
)

// TestTwoHalvesKeepCaps cuts the fleet into two halves that reach the same engines:
// both must keep answering without exceeding a cap together.
func TestTwoHalvesKeepCaps(t *testing.T) {
	runSplitFleet(t, func(ctx context.Context, f *splitFleet) {
		f.runFreezeDetectors(ctx, everyRouter...)
		f.flood(15*time.Second, everyRouter...)
		f.side[2].Store(1)
		f.side[3].Store(1)
		f.flood(40*time.Second, everyRouter...)
		before := [2]int64{f.answered[0].Load(), f.answered[2].Load()}
		f.flood(10*time.Second, everyRouter...)
		if f.answered[0].Load() == before[0] || f.answered[2].Load() == before[1] {
			t.Error("one half does not answer")
		}
		f.side[2].Store(0)
		f.side[3].Store(0)
		f.flood(30*time.Second, everyRouter...)
	})
}

// TestFrozenRouterKeepsCaps freezes a router, so that its backup takes over, and
// wakes it up: it must not admit work to its engines in addition.
func TestFrozenRouterKeepsCaps(t *testing.T) {
	runSplitFleet(t, func(ctx context.Context, f *splitFleet) {
		f.runFreezeDetectors(ctx, 0, 1, 2)
		awake, freeze := context.WithCancel(ctx)
		f.runFreezeDetectors(awake, 3)
		f.flood(15*time.Second, everyRouter...)
		freeze()
		f.side[3].Store(1)
		f.flood(20*time.Second, 0, 1, 2)
		f.ask(3, "chat of the woken router")
		f.flood(time.Second, everyRouter...)
		f.side[3].Store(0)
		f.runFreezeDetectors(ctx, 3)
		f.flood(20*time.Second, everyRouter...)
	})
}

// TestRouterThatLeavesTheListKeepsCaps delivers a list without one router to the
// others at different times, so that old and new homes coexist.
func TestRouterThatLeavesTheListKeepsCaps(t *testing.T) {
	runSplitFleet(t, func(ctx context.Context, f *splitFleet) {
		f.runFreezeDetectors(ctx, everyRouter...)
		f.flood(15*time.Second, everyRouter...)
		for i, r := range f.routers {
			r.members.SetList(f.list(2, 3), time.Now())
			f.flood(500*time.Millisecond, everyRouter...)
			if i == 0 {
				f.flood(time.Second, everyRouter...)
			}
		}
		f.flood(20*time.Second, everyRouter...)
	})
}

// TestFailingEnginesDoNotMultiplyLoad checks that the retry budget bounds the
// attempts while every engine fails.
func TestFailingEnginesDoNotMultiplyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newSplitFleet(t)
		f.start(ctx)
		f.runFreezeDetectors(ctx, everyRouter...)
		time.Sleep(5 * time.Second)
		f.engine.fail.Store(true)
		f.flood(20*time.Second, everyRouter...)
		f.jobs.Wait()
		bound := float64(f.asked)*(1+settings.Defaults().Limits.RetryRatio) + splitFleetRouters*minRetryTokens
		if float64(f.engine.starts) > bound {
			t.Errorf("%d starts for %d requests, the bound is %.0f", f.engine.starts, f.asked, bound)
		}
		if f.engine.starts < f.asked/2 {
			t.Errorf("only %d starts for %d requests", f.engine.starts, f.asked)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWokenRouterWaitsForConfirmation checks that a router which wakes from a
// freeze may not act as home, and has no lease, until a peer has confirmed its
// list.
func TestWokenRouterWaitsForConfirmation(t *testing.T) {
	for _, freeze := range []time.Duration{2 * time.Second, 20 * time.Second} {
		t.Run(freeze.String(), func(t *testing.T) { testWoken(t, freeze) })
	}
}

func testWoken(t *testing.T, freeze time.Duration) {
	f := newSplitFleet(t)
	r := f.routers[0]
	now := time.Now()
	r.setHistory.Update(r.members.View(), now)
	r.setHistory.RecordSpread(1, now)
	engine := engineOf(t, homes.NewSet(r.members.View()), routerAddress(0))
	r.admission.LeaseGranted(routerAddress(1), now, now)
	if r.assignment(engine, now).Since.IsZero() {
		t.Fatal("the home may not act")
	}
	wake := now.Add(freeze)
	if !r.assignment(engine, wake).Since.IsZero() {
		t.Error("a router that has just woken acts on its old list")
	}
	if r.admission.HoldsLease(wake) {
		t.Error("a router that has just woken has kept its lease")
	}
	beat := member.Heartbeat{From: member.Identity{Address: routerAddress(1)}, ListVersion: 1}
	r.members.HandleHeartbeat(beat, wake.Add(time.Millisecond))
	if r.assignment(engine, wake.Add(2*time.Millisecond)).Since.IsZero() {
		t.Error("the home may not act although a peer has confirmed its list")
	}
}

// engineOf returns an engine whose home is the given router.
func engineOf(t *testing.T, set *homes.Set, home string) string {
	t.Helper()
	for i := range 1000 {
		if engine := fmt.Sprint("engine-", i); set.HomeOf(engine) == home {
			return engine
		}
	}
	t.Fatal("the router is home of no engine")
	return ""
}
