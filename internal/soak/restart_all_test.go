package soak

import (
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// restartsOfAll is the number of times that all VMs are killed at once, restartPause the time
	// between two of them.
	restartsOfAll = 3
	restartPause  = 2 * time.Second
)

// restartAllBesideResets kills all VMs at once, several times, while workers drop the connections of all
// requests. The history is checked for more retries than the budget of one window allows.
func (s *soak) restartAllBesideResets() {
	s.logFault("all workers drop connections, all VMs are killed %d times", restartsOfAll)
	s.record.beginWorkerFault("drop connections")
	s.setAllBehaviors(hosted.DropConnection)
	time.Sleep(restartPause)
	for range restartsOfAll {
		s.restartAll()
		time.Sleep(restartPause)
	}
	s.setAllBehaviors(hosted.Serve)
	s.record.heal()
	s.eventually("all gateways are ready after the restarts", s.allReady)
}

// restartAll kills all VMs and starts them again.
func (s *soak) restartAll() {
	endFault := s.record.beginFault(allVMs, "restart of all")
	for _, g := range s.gateways {
		s.stop(g, syscall.SIGKILL, 1)
	}
	for _, g := range s.gateways {
		s.start(g)
	}
	endFault()
}

func (s *soak) setAllBehaviors(behavior hosted.Behavior) {
	for _, slot := range s.slots {
		slot.worker.Load().SetDefault(behavior)
	}
}
