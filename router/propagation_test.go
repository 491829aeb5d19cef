package router

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	// maxInForceDelay is the time within which a configuration must be in force on
	// all routers.
	maxInForceDelay = 7 * time.Second
	// maxDepartureDelay is the time within which all routers must know of a
	// departure that one of them knows.
	maxDepartureDelay = 3 * time.Second
)

// waitInForce waits until version is in force on all routers, within
// maxInForceDelay.
func (f *memoryFleet) waitInForce(version int64) {
	f.t.Helper()
	took := f.within(maxInForceDelay, fmt.Sprintf("parameters version %d", version), func(r *memoryRouter) bool {
		return r.parameters() >= version
	})
	f.t.Logf("version %d in force on %d routers after %v", version, len(f.routers), took)
}

// slowHeartbeats shortens tests of long faults and large fleets: heartbeats are
// five seconds apart, so that updates also arrive later than usual.
func slowHeartbeats(s *settings.Router) {
	s.Timing.HeartbeatMS = 5000
	s.Timing.SuspectMS = 15000
}

// TestTwoOperatorsPublishAtOnce publishes two versions of a document concurrently:
// all routers must end with the later one.
func TestTwoOperatorsPublishAtOnce(t *testing.T) {
	runFleet(t, 16, func(f *memoryFleet) {
		versions := make(chan int64, 2)
		for n := range 2 {
			go func() { versions <- f.publish("workspaces/a/parameters", fmt.Sprintf(`{"n": %d}`, n+1)) }()
		}
		f.waitInForce(max(<-versions, <-versions))
	})
}

// TestPlatformDownForAnHour stops the platform: a router must start from its peers
// meanwhile, and a change must get through after the outage.
func TestPlatformDownForAnHour(t *testing.T) {
	runFleetWith(t, 3, slowHeartbeats, func(f *memoryFleet) {
		version := f.publish("workspaces/a/parameters", `{"n": 2}`)
		f.waitInForce(version)
		f.platform.SetFault(standin.Fault{Down: true})
		time.Sleep(30 * time.Minute)
		f.kill(2)
		f.start(2)
		f.within(10*time.Second, "the router starts from its peers", func(r *memoryRouter) bool { return r.ready() })
		f.waitInForce(version)
		time.Sleep(30 * time.Minute)
		f.platform.SetFault(standin.Fault{})
		f.waitInForce(f.publish("workspaces/a/parameters", `{"n": 3}`))
	})
}

// TestSilentPlatform lets all reads hang without an answer, including those in
// progress, and then resumes the platform.
func TestSilentPlatform(t *testing.T) {
	runFleet(t, 9, func(f *memoryFleet) {
		f.platform.SetFault(standin.Fault{Silent: true})
		time.Sleep(time.Minute)
		f.platform.SetFault(standin.Fault{})
		f.waitInForce(f.publish("workspaces/a/parameters", `{"n": 3}`))
	})
}

// TestHalvesPartAndJoin cuts the fleet in two for an hour, while only one half can
// read from the platform.
func TestHalvesPartAndJoin(t *testing.T) {
	runFleetWith(t, 6, slowHeartbeats, func(f *memoryFleet) {
		left := map[string]bool{testPlatform: true}
		for i := range 3 {
			left[peerAddress(i)] = true
		}
		f.network.setCut(func(from, to string) bool { return left[from] != left[to] })
		time.Sleep(time.Minute)
		var version int64
		for n := range 40 {
			version = f.publish("workspaces/a/parameters", fmt.Sprintf(`{"n": %d}`, n+1))
			f.publish(fmt.Sprintf("workspaces/b%d/template", n), testTemplate)
		}
		time.Sleep(time.Hour)
		f.network.setCut(nil)
		f.waitInForce(version)
		f.within(maxInForceDelay, "all workspaces", func(r *memoryRouter) bool { return len(r.store.Snapshot().Workspaces) == 41 })
	})
}

// TestDeletionAndPublishingAgain deletes a template and lets a router start while
// the platform returns an older state: the deleted template must not come back.
// Then the template is published again.
func TestDeletionAndPublishingAgain(t *testing.T) {
	runFleet(t, 9, func(f *memoryFleet) {
		version, _ := f.platform.Delete("workspaces/a/template", -1)
		f.within(maxInForceDelay, "the workspace is gone", func(r *memoryRouter) bool { return len(r.TemplateVersions()) == 0 })
		f.platform.SetFault(standin.Fault{StaleRevision: version - 1})
		f.kill(3)
		f.start(3)
		f.within(10*time.Second, "the router is ready", func(r *memoryRouter) bool { return r.ready() })
		f.within(0, "the deleted workspace stays away", func(r *memoryRouter) bool { return len(r.TemplateVersions()) == 0 })
		f.platform.SetFault(standin.Fault{})
		version = f.publish("workspaces/a/template", testTemplate)
		f.within(maxInForceDelay, "the workspace is back", func(r *memoryRouter) bool { return r.TemplateVersions()["a"] == version })
	})
}

// TestReadersDie kills all readers of the platform at once.
func TestReadersDie(t *testing.T) {
	runFleet(t, 16, func(f *memoryFleet) {
		for i, r := range f.routers {
			if isReader(r.members.View(), r.members.Self()) {
				f.kill(i)
			}
		}
		f.waitInForce(f.publish("workspaces/a/parameters", `{"n": 3}`))
	})
}

// TestDepartureIsKnownEverywhere marks an engine as leaving and checks how fast all
// routers know it.
func TestDepartureIsKnownEverywhere(t *testing.T) {
	runFleet(t, 16, func(f *memoryFleet) {
		f.platform.SetVMState(engineAddress(0), source.StateLeaving)
		left := func(r *memoryRouter) bool { return !r.members.View().Live(engineAddress(0)) }
		for known := false; !known; time.Sleep(time.Millisecond) {
			for _, r := range f.routers {
				known = known || left(r)
			}
		}
		t.Logf("known everywhere after %v", f.within(maxDepartureDelay, "the engine has left", left))
	})
}

// TestCutOffRouterIsNotDeparted cuts one router off, which must make it unreachable
// but not remove it, then reconnects it, and finally drops it from the list.
func TestCutOffRouterIsNotDeparted(t *testing.T) {
	runFleet(t, 12, func(f *memoryFleet) {
		alone := peerAddress(7)
		f.network.setCut(func(from, to string) bool { return (from == alone) != (to == alone) && from != testPlatform })
		health := func(want member.Health) func(*memoryRouter) bool {
			return func(r *memoryRouter) bool {
				return r.settings.Peers == alone || r.members.Health(alone, time.Now()) == want
			}
		}
		f.within(15*time.Second, "the router is unreachable", health(member.HealthUnreachable))
		time.Sleep(10 * time.Minute)
		f.within(0, "the router is still a member", func(r *memoryRouter) bool { return len(r.members.View().Routers) == 12 })
		f.network.setCut(nil)
		f.within(30*time.Second, "the router is alive", health(member.HealthAlive))
		f.platform.SetVMState(alone, "")
		f.within(maxDepartureDelay+listReadPause, "the router is gone", func(r *memoryRouter) bool {
			_, listed := r.members.View().Find(alone)
			return !listed
		})
	})
}

// TestLeavingSpreadsAtOnce announces the shutdown of a router: the others must know
// within half a heartbeat period.
func TestLeavingSpreadsAtOnce(t *testing.T) {
	runFleet(t, 9, func(f *memoryFleet) {
		leaver := f.routers[4]
		leaver.spreadLeaving(t.Context())
		f.within(milliseconds(leaver.settings.Timing.HeartbeatMS)/2, "the router leaves", func(r *memoryRouter) bool {
			return r == leaver || r.members.Health(leaver.settings.Peers, time.Now()) == member.HealthLeaving
		})
	})
}

// TestPlatformCalls counts the platform calls of a fleet of 340 routers in each
// second: when all start at once, in steady state, while the platform is down or
// silent, and in the first 10 s after that.
func TestPlatformCalls(t *testing.T) {
	const (
		routers = 340
		limit   = 200
	)
	runFleetWith(t, routers, slowHeartbeats, func(f *memoryFleet) {
		phases := []struct {
			name  string
			fault standin.Fault
			time  time.Duration
		}{
			{"start", standin.Fault{}, 2 * time.Second},
			{"quiet", standin.Fault{}, 5 * time.Second},
			{"down", standin.Fault{Down: true}, 20 * time.Second},
			{"back", standin.Fault{}, 10 * time.Second},
			{"silent", standin.Fault{Silent: true}, 20 * time.Second},
			{"speaks again", standin.Fault{}, 10 * time.Second},
		}
		for _, phase := range phases {
			f.platform.SetFault(phase.fault)
			time.Sleep(phase.time)
			most := f.calls.reset()
			t.Logf("%s: %d calls a second at the most", phase.name, most)
			if most > limit {
				t.Errorf("%s: %d calls a second, want %d at the most", phase.name, most, limit)
			}
		}
	})
}
