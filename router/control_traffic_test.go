package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	// controlBound is the control traffic of one router, in bytes a second.
	controlBytesPerSecond = 13000
	// smallControlBound is that of a fleet of today's size: a few kilobytes.
	smallControlBytesPerSecond = 5000
	// smallChangePause is the time between two changes there.
	smallChangePause = 30 * time.Second
	// changePause is the time between two of 25,000 changes a day.
	changePause = 86400 * time.Second / 25000
	// listPauseTest is the time between two changes of the list: a restart or a
	// failure of a VM, of which there are 1,068 a day, changes it three times.
	listChangePause = 86400 * time.Second / (3 * 1068)
)

// load lets each router count some load for each model.
func (f *memoryFleet) adoptLoads(models int) {
	for i, r := range f.routers {
		for n := range models {
			r.loadTracker.Adopt(balance.Request{Engine: engineAddress(i), Model: fmt.Sprint("some-model-", n), Workspace: "a", Tokens: 100 + i}, time.Now())
		}
	}
}

// TestControlTraffic counts the bytes of all control connections, headers
// included, at fixed sizes. From 16 routers on they see the changes of a fleet
// of 340 routers.
func TestControlTraffic(t *testing.T) {
	sizes := []struct {
		routers, models int
		seconds         int64
	}{{8, 1, 1350}, {16, 12, 135}, {32, 12, 135}, {64, 12, 135}}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			runFleet(t, size.routers, func(f *memoryFleet) {
				f.adoptLoads(size.models)
				time.Sleep(10 * time.Second)
				before := make([]int64, size.routers)
				for i, r := range f.routers {
					before[i] = r.controlBytes.Total()
				}
				bound, pause := int64(controlBytesPerSecond), changePause
				if size.routers <= member.MaxPeersProbedAtOnce {
					bound, pause = smallControlBytesPerSecond, smallChangePause
				}
				f.changeFor(time.Duration(size.seconds)*time.Second, pause)
				var sum, most int64
				for i, r := range f.routers {
					bytes := (r.controlBytes.Total() - before[i]) / size.seconds
					sum, most = sum+bytes, max(most, bytes)
				}
				t.Logf("%d routers, %d models: %d bytes a second on average, %d at most", size.routers, size.models, sum/int64(size.routers), most)
				if most > bound {
					t.Errorf("%d bytes a second, want %d at the most", most, bound)
				}
			})
		})
	}
}

// changeFor changes the configuration with the given pause, and the list as
// often as 340 routers see it. Documents have about 1 KB.
func (f *memoryFleet) changeFor(d, pause time.Duration) {
	states := []source.State{source.StateLeaving, source.StateLive}
	began, listChanges := time.Now(), 0
	for n := 0; time.Since(began) < d; n++ {
		f.publish(fmt.Sprintf("workspaces/w%d/template", n%20), fmt.Sprintf(
			`{"description": %q, "completion": {"models": [{"model": "m"}]}}`, fmt.Sprint(n, strings.Repeat(" lane", 200))))
		time.Sleep(pause)
		if time.Since(began)/listChangePause > time.Duration(listChanges) {
			f.platform.SetVMState(engineAddress(0), states[listChanges%2])
			listChanges++
		}
	}
}

// TestStartTraffic counts what a start costs, with its slope by the number of
// workspaces, and works out 970 starts a day of 340 routers with 7,900
// workspaces of 1 KB: each byte is sent by one router and received by another.
func TestStartTraffic(t *testing.T) {
	const startsBound = 1000 // bytes a second of one router
	sizes := []int{100, 400, 1600}
	var counted []float64
	for _, size := range sizes {
		runFleet(t, 4, func(f *memoryFleet) {
			for n := range size {
				f.publish(fmt.Sprintf("workspaces/w%d/template", n), fmt.Sprintf(
					`{"description": %q, "completion": {"models": [{"model": "m"}]}}`, strings.Repeat(" lane", 200)))
			}
			whole := func(r *memoryRouter) bool { return len(r.store.Snapshot().Workspaces) == size+1 }
			f.within(time.Minute, "all workspaces", whole)
			f.kill(3)
			f.start(3)
			f.within(time.Minute, "the router is ready", func(r *memoryRouter) bool { return r.ready() && whole(r) })
			counted = append(counted, float64(f.routers[3].controlBytes.Total()))
		})
	}
	slope := (counted[2] - counted[0]) / float64(sizes[2]-sizes[0])
	whole := counted[0] + slope*(7900-float64(sizes[0]))
	perSecond := 2 * 970 * whole / 86400 / 340
	t.Logf("starts cost %.0f bytes at %v workspaces, %.0f bytes for each, %.0f bytes at 7900: %.0f bytes a second for each router",
		counted, sizes, slope, whole, perSecond)
	if perSecond > startsBound {
		t.Errorf("%.0f bytes a second, want %d at the most", perSecond, startsBound)
	}
}
