package soak

import (
	"net/http"
	"syscall"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// restartWithoutWorkers crashes all workers for good and kills a VM. Once it has started again, requests of
// each kind must be answered, though no worker is listed. New workers end the fault.
func (s *soak) restartWithoutWorkers() {
	g := s.randomGateway()
	s.logFault("all workers crash, VM %d is killed while none is listed", g.number)
	s.record.beginWorkerFault("no worker")
	for _, slot := range s.slots {
		slot.proxy.down()
		worker := slot.worker.Load().ID
		s.store.DeleteEndpoint(worker)
		s.record.setDraining(worker, true)
	}
	s.restart(g, syscall.SIGKILL, 1)
	s.eventually("all gateways are ready while no worker is listed", s.allReady)
	s.checkAnswered(g)
	for _, slot := range s.slots {
		s.startWorker(slot)
		if err := slot.proxy.up(); err != nil {
			s.t.Fatal(err)
		}
	}
	s.record.heal()
	for _, path := range callPaths {
		if path != "" {
			s.askUntil(path+" is served by new workers", g.number, path, hosted.Key, http.StatusOK)
		}
	}
}

// checkAnswered checks that a VM answers requests of each kind within callTimeout.
func (s *soak) checkAnswered(g *gatewayVM) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	for _, path := range callPaths {
		if path == "" {
			continue
		}
		if call := s.ask(client, callRecord{id: s.newID(), path: path, key: hosted.Key, gateway: g.number}, 0); call.status == 0 {
			s.t.Errorf("%s at VM %d got no answer while no worker is listed", path, g.number)
		}
	}
}
