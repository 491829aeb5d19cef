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
	// controlBytesPerSecond is the limit for the control traffic of one router.
	controlBytesPerSecond = 13000
	// smallControlBytesPerSecond is the limit in a fleet of eight routers.
	smallControlBytesPerSecond = 5000
	// smallChangePause is the time between two changes in such a fleet.
	smallChangePause = 30 * time.Second
	// changePause is the time between two changes at 25,000 changes a day.
	changePause = 86400 * time.Second / 25000
	// listChangePause is the time between two changes of the list at 1,068 restarts
	// or failures of a VM a day, each of which changes the list three times.
	listChangePause = 86400 * time.Second / (3 * 1068)
)

// adoptLoads gives each router some load for each model.
func (f *memoryFleet) adoptLoads(models int) {
	for i, r := range f.routers {
		for n := range models {
			r.loadTracker.Adopt(balance.Request{Engine: engineAddress(i), Model: fmt.Sprint("some-model-", n), Workspace: "a", Tokens: 100 + i}, time.Now())
		}
	}
}

// TestControlTraffic checks the bytes of all control connections, including
// headers, at several fleet sizes. From 16 routers on, the rate of changes is that
// of a fleet of 340 routers.
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

// changeFor changes the configuration with the given pause, and the list as often
// as in a fleet of 340 routers. Documents have about 1 KB.
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

// TestStartTraffic counts the control bytes of a router's start for several numbers
// of workspaces, and extrapolates to 970 starts a day in a fleet of 340 routers
// with 7,900 workspaces of 1 KB: each byte is sent by one router and received by
// another.
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
