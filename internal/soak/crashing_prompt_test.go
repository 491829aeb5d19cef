package soak

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// crashPart is the ID of a prompt part on which engines crash.
	crashPart = "dead"
	// firstBurst and secondBurst are the numbers of requests with it before it must be known,
	// and afterwards. maxLateArrivals of the latter may reach engines.
	firstBurst      = 12
	secondBurst     = 9
	maxLateArrivals = 3
	// crashPause is how long engines are away that crashed.
	crashPause = 120 * time.Millisecond
)

// checkCrashingPrompt sends requests on which engines crash to all VMs, restarts one VM, and checks
// that hardly any further one reaches an engine, while sound ones are served.
func (s *soak) checkCrashingPrompt() {
	s.record.beginWorkerFault("crashes on a prompt")
	defer s.record.heal()
	var crashed atomic.Int64
	for range firstBurst {
		s.askCrashing(&crashed)
	}
	s.logFault("%d engines crashed on a prompt part", crashed.Load())
	s.restart(s.randomGateway(), syscall.SIGKILL, 1)
	s.eventually("all gateways are ready after the crashes", s.allReady)
	time.Sleep(stablePeriod)
	before := crashed.Load()
	for range secondBurst {
		if s.askCrashing(&crashed) == http.StatusOK {
			s.t.Error("a request on which engines crash was served")
		}
		if sound := s.askPrompt("b0"); sound != http.StatusOK {
			s.t.Errorf("a sound request that shares all but one part got %d", sound)
		}
	}
	if arrivals := crashed.Load() - before; arrivals > maxLateArrivals {
		s.t.Errorf("%d of %d requests reached engines after %d crashes, want at most %d", arrivals, secondBurst, before, maxLateArrivals)
	}
}

// askCrashing sends a request with crashPart. Engines that crash on it are replaced by new
// instances afterwards.
func (s *soak) askCrashing(crashed *atomic.Int64) (status int) {
	for _, slot := range s.slots {
		worker, proxy := slot.worker.Load(), slot.proxy
		worker.ArmCrash(hosted.CrashOnPart(crashPart), func() {
			crashed.Add(1)
			proxy.down()
		})
	}
	status = s.askPrompt(crashPart)
	time.Sleep(crashPause)
	for _, slot := range s.slots {
		if slot.proxy.isDown() {
			old := slot.worker.Load().ID
			s.store.DeleteEndpoint(old)
			s.record.setDraining(old, true)
			s.startWorker(slot)
			if err := slot.proxy.up(); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	return status
}

// askPrompt sends a request to a random VM whose prompt has the given second part.
func (s *soak) askPrompt(part string) (status int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	call := callRecord{id: s.newID(), path: "/roster/1", key: hosted.Key, gateway: s.random.IntN(len(s.gateways)), promptPart: part}
	return s.ask(client, call, 0).status
}
