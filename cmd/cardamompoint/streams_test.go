package main

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/settings"
)

func TestEngineKilledInMidAnswer(t *testing.T) {
	f := startStreamFleet(t, nil)
	load := f.newLoad(24, 60, allRouters, allRouters)
	load.start()
	f.kill(f.busiestEngine())
	counts := load.wait()
	load.checkComplete(counts)
	counts.checkUnnoticed(t, "the loss of an engine")
	f.checkNoneRunning()
}

func TestEngineFrozenInMidAnswer(t *testing.T) {
	f := startStreamFleet(t, nil)
	load := f.newLoad(24, 60, allRouters, allRouters)
	load.start()
	frozen := f.busiestEngine()
	f.signal(frozen, syscall.SIGSTOP)
	counts := load.wait()
	f.signal(frozen, syscall.SIGCONT)
	load.checkComplete(counts)
	counts.checkUnnoticed(t, "a frozen engine")
	f.checkNoneRunning()
}

func TestConnectionsToEngineGoSilent(t *testing.T) {
	for _, fault := range []struct {
		name   string
		inject func(*relay)
	}{{"silent", (*relay).mute}, {"cut", (*relay).closeAll}} {
		t.Run(fault.name, func(t *testing.T) {
			f := startStreamFleet(t, func(c *fleetConfig) { c.relayEngines = true })
			load := f.newLoad(24, 100, allRouters, allRouters)
			load.start()
			fault.inject(f.relays[0])
			load.checkComplete(load.wait())
			f.checkNoneRunning()
			load.checkStartedOnce()
		})
	}
}

func TestHomeKilledInMidAnswer(t *testing.T) {
	f := startStreamFleet(t, nil)
	home, entries := f.busiestHome()
	load := f.newLoad(24, 100, entries, entries)
	load.start()
	f.kill(home)
	counts := load.wait()
	load.checkComplete(counts)
	counts.checkUnnoticed(t, "the loss of a home")
	f.checkNoneRunning()
	load.checkStartedOnce()
}

func TestHomeFrozenInMidAnswer(t *testing.T) {
	f := startStreamFleet(t, nil)
	home, entries := f.busiestHome()
	load := f.newLoad(24, 250, entries, entries)
	load.start()
	f.signal(home, syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	f.signal(home, syscall.SIGCONT)
	counts := load.wait()
	load.checkComplete(counts)
	f.checkNoneRunning()
	load.checkStartedOnce()
}

func TestEntryKilledInMidAnswer(t *testing.T) {
	f := startStreamFleet(t, nil)
	load := f.newLoad(24, 100, []int{1}, []int{2, 3, 4})
	load.start()
	f.kill("router-1")
	counts := load.wait()
	load.checkComplete(counts)
	if counts.restarted != 0 {
		t.Error("a stream was lost although its engine runs")
	}
	f.checkNoneRunning()
	load.checkStartedOnce()
}

func TestHomeAndEngineKilledTogether(t *testing.T) {
	f := startStreamFleet(t, nil)
	home, entries := f.busiestHome()
	load := f.newLoad(24, 60, entries, entries)
	load.start()
	f.kill(f.engineOfHome(home))
	f.kill(home)
	load.checkComplete(load.wait())
	f.checkNoneRunning()
}

func TestEntryKilledAndEngineFrozen(t *testing.T) {
	f := startStreamFleet(t, nil)
	load := f.newLoad(24, 60, []int{1}, []int{2, 3, 4})
	load.start()
	frozen := f.busiestEngine()
	f.signal(frozen, syscall.SIGSTOP)
	f.kill("router-1")
	load.checkComplete(load.wait())
	f.signal(frozen, syscall.SIGCONT)
	f.checkNoneRunning()
}

func TestCallersLeave(t *testing.T) {
	f := startStreamFleet(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	streams := f.startStreams(ctx, 12, 250)
	cancel()
	time.Sleep(time.Second)
	if running, _ := f.engineLoads(); running != len(streams) {
		t.Errorf("%d streams of %d run within the resume time", running, len(streams))
	}
	f.checkNoneRunning()
	f.eventually("no capacity is held", func() bool { return f.countedRequests() == 0 })
}

func TestCallersCancel(t *testing.T) {
	f := startStreamFleet(t, func(c *fleetConfig) {
		shortTimeouts := c.adjust
		c.adjust = func(s *settings.Router) {
			shortTimeouts(s)
			s.Timing.ResumeMS = 60000
		}
	})
	for _, stream := range f.startStreams(t.Context(), 12, 250) {
		f.must(f.client(3).Cancel(t.Context(), stream))
	}
	if running, _ := f.engineLoads(); running != 0 {
		t.Errorf("%d streams are still running", running)
	}
	if held := f.countedRequests(); held != 0 {
		t.Errorf("capacity is held for %d streams", held)
	}
}

func TestHomeShutsDownInMidAnswer(t *testing.T) {
	f := startStreamFleet(t, nil)
	home, entries := f.busiestHome()
	load := f.newLoad(24, 250, entries, entries)
	load.start()
	f.signal(home, syscall.SIGTERM)
	counts := load.wait()
	load.checkComplete(counts)
	counts.checkUnnoticed(t, "the shutdown of a home")
	if exit := f.wait(home); exit != exitOK {
		t.Errorf("the router exited with %d", exit)
	}
	load.checkStartedOnce()
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	f := startStreamFleet(t, nil)
	load := f.newLoad(24, 250, []int{1}, []int{2, 3, 4})
	load.start()
	f.signal("router-1", syscall.SIGTERM)
	f.eventually("the router is not ready", func() bool {
		status, err := f.status(1)
		return err == nil && !status.Ready
	})
	f.signal("router-1", syscall.SIGTERM)
	if exit := f.wait("router-1"); exit != exitAborted {
		t.Errorf("the router exited with %d", exit)
	}
	load.checkComplete(load.wait())
}

func TestEngineLeavesInMidAnswer(t *testing.T) {
	f := startStreamFleet(t, nil)
	before := f.newLoad(24, 100, allRouters, allRouters)
	before.start()
	f.must(jsonhttp.Post(t.Context(), http.DefaultClient, "http://"+f.engineAddress(1)+"/test/leave", struct{}{}, nil))
	refused := f.newLoad(12, 20, allRouters, allRouters)
	refused.start()
	refused.checkComplete(refused.wait())
	f.listLeaving(f.engineAddress(1))
	counts := before.wait()
	before.checkComplete(counts)
	counts.checkUnnoticed(t, "that an engine is leaving")
	f.checkNoneRunning()
}
