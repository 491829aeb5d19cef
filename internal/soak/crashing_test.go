package soak

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// crashPart is the ID of a prompt part on which engines crash, crashPath the path of a request
	// without a prompt that crashes endpoints.
	crashPart = "dead"
	crashPath = "/lookup/dead"
	// firstBurst and secondBurst are the numbers of such requests before they must be known,
	// and afterwards. maxLateArrivals of the latter may reach endpoints.
	firstBurst      = 12
	secondBurst     = 9
	maxLateArrivals = 3
	// crashPause is how long endpoints are away that crashed.
	crashPause = 120 * time.Millisecond
)

// crashCase is a kind of request that crashes endpoints.
type crashCase struct {
	name    string
	trigger hosted.CrashTrigger
	// askDeadly and askSound send a request that crashes endpoints, and one like it that does not,
	// and return its status.
	askDeadly, askSound func() int
}

func (s *soak) crashCases() []crashCase {
	return []crashCase{
		{"a prompt part", hosted.CrashOnPart(crashPart), func() int { return s.askPrompt(crashPart) }, func() int { return s.askPrompt("b0") }},
		{"a request", hosted.CrashOnPath(crashPath), func() int { return s.askRandom(crashPath) }, func() int { return s.askRandom("/lookup/1") }},
	}
}

// checkCrashes sends requests on which endpoints crash to all VMs, restarts one VM, and checks
// that hardly any further one reaches an endpoint, while sound ones are served.
func (s *soak) checkCrashes(c crashCase) {
	s.record.beginWorkerFault("crashes on " + c.name)
	defer s.record.heal()
	var crashed atomic.Int64
	for range firstBurst {
		s.askCrashing(c, &crashed)
	}
	s.logFault("%d endpoints crashed on %s", crashed.Load(), c.name)
	s.restart(s.randomGateway(), syscall.SIGKILL, 1)
	s.eventually("all gateways are ready after the crashes", s.allReady)
	time.Sleep(stablePeriod)
	before := crashed.Load()
	for range secondBurst {
		if s.askCrashing(c, &crashed) == http.StatusOK {
			s.t.Errorf("a request was served although endpoints crash on %s", c.name)
		}
		if sound := c.askSound(); sound != http.StatusOK {
			s.t.Errorf("a sound request beside %s got %d", c.name, sound)
		}
	}
	if arrivals := crashed.Load() - before; arrivals > maxLateArrivals {
		s.t.Errorf("%s: %d of %d requests reached endpoints after %d crashes, want at most %d", c.name, arrivals, secondBurst, before, maxLateArrivals)
	}
}

// askCrashing sends a request that crashes endpoints. Those that crash are replaced by new
// instances afterwards.
func (s *soak) askCrashing(c crashCase, crashed *atomic.Int64) (status int) {
	for _, slot := range s.slots {
		worker, proxy := slot.worker.Load(), slot.proxy
		worker.ArmCrash(c.trigger, func() {
			crashed.Add(1)
			proxy.down()
		})
	}
	status = c.askDeadly()
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
	return s.askOnce(callRecord{path: "/roster/1", promptPart: part})
}

// askRandom sends a request for a path to a random VM.
func (s *soak) askRandom(path string) (status int) {
	return s.askOnce(callRecord{path: path})
}

// askOnce sends a request to a random VM, on a connection of its own.
func (s *soak) askOnce(call callRecord) (status int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	call.id, call.key, call.gateway = s.newID(), hosted.Key, s.random.IntN(len(s.gateways))
	return s.ask(client, call, 0).status
}
