package soak

import (
	"fmt"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// processStartTime is the time after which a started process surely handles signals.
// Before that, SIGHUP ends it.
const processStartTime = time.Second

// logFault adds an entry to the log of injected faults.
func (s *soak) logFault(format string, values ...any) {
	s.injected = append(s.injected, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, values...))
}

// injectFault injects one random fault, or ends one.
func (s *soak) injectFault() {
	faults := []func(){
		s.kill, s.freeze, s.terminate, s.reload, s.cutLink, s.cutLink, s.resetLink, s.failStore, s.publishVersions, s.publishVersions, s.setNextBehaviors, s.changeState, s.replaceWorker, s.announceLeaving, s.restoreStore, s.forgetConnections,
	}
	faults[s.random.IntN(len(faults))]()
}

func (s *soak) randomGateway() *gatewayVM {
	return s.gateways[s.random.IntN(len(s.gateways))]
}

func (s *soak) randomSlot() *workerSlot {
	return s.slots[s.random.IntN(len(s.slots))]
}

func (s *soak) kill() {
	g := s.randomGateway()
	s.logFault("kill VM %d", g.number)
	s.restart(g, syscall.SIGKILL, 1)
}

// restart stops a process with a signal, sent count times, and starts the next one.
func (s *soak) restart(g *gatewayVM, signal syscall.Signal, count int) {
	endFault := s.record.beginFault(g.number, "restart")
	s.stop(g, signal, count)
	s.start(g)
	endFault()
}

func (s *soak) freeze() {
	g := s.randomGateway()
	s.logFault("freeze VM %d: %v", g.number, g.endFreeze == nil)
	if g.endFreeze != nil {
		s.resume(g)
		return
	}
	g.endFreeze = s.record.beginFault(g.number, "freeze")
	_ = g.command.Process.Signal(syscall.SIGSTOP)
}

func (s *soak) terminate() {
	g := s.randomGateway()
	times := 1 + s.random.IntN(2)
	s.logFault("terminate VM %d, %d signals", g.number, times)
	s.restart(g, syscall.SIGTERM, times)
}

func (s *soak) reload() {
	g := s.randomGateway()
	if time.Since(g.started) > processStartTime {
		s.logFault("reload VM %d", g.number)
		_ = g.command.Process.Signal(syscall.SIGHUP)
	}
}

func (s *soak) cutLink() {
	link := s.random.IntN(len(s.proxies))
	fault := linkFault(s.random.IntN(int(linkFaults)))
	s.logFault("link %d: fault %d", link, fault)
	s.recordLinkFault(link, fault)
	s.proxies[link].fault.Store(int32(fault))
}

// recordLinkFault records the fault period of a link: the link to the store affects all VMs,
// other links affect workers.
func (s *soak) recordLinkFault(link int, fault linkFault) {
	if link != storeLink {
		s.record.beginWorkerFault("link")
		return
	}
	if endPrevious := s.endLinkFault[link]; endPrevious != nil {
		defer endPrevious()
	}
	if fault != linkHealthy {
		s.endLinkFault[link] = s.record.beginFault(allVMs, "link to the store")
		s.record.endWhenHealed(s.endLinkFault[link])
	}
}

// storeLink is the index of the link to the store.
const storeLink = 0

func (s *soak) resetLink() {
	link := s.random.IntN(len(s.proxies))
	s.logFault("link %d: reset", link)
	s.proxies[link].reset()
	s.record.beginFault(allVMs, "reset")()
}

func (s *soak) failStore() {
	fault := hosted.Fault(s.random.IntN(int(hosted.FaultHang) + 1))
	s.logFault("store: fault %d", fault)
	if s.endStoreFault != nil {
		defer s.endStoreFault()
	}
	if fault != hosted.FaultNone {
		s.endStoreFault = s.record.beginFault(allVMs, "store")
		s.record.endWhenHealed(s.endStoreFault)
	}
	s.store.SetFault(fault)
}

// publishVersions publishes one to three versions, and sometimes compacts the store's
// history.
func (s *soak) publishVersions() {
	versions := 1 + s.random.IntN(3)
	compact := s.random.IntN(3) == 0
	s.logFault("%d versions, history dropped: %v", versions, compact)
	for range versions {
		s.publishVersion()
	}
	if compact {
		s.store.Compact()
	}
}

func (s *soak) setNextBehaviors() {
	slot := s.randomSlot()
	first, third := s.randomBehavior(), s.randomBehavior()
	s.logFault("worker at %s: %d, %d", slot.public, first, third)
	s.record.beginWorkerFault("misbehaviour")
	slot.worker.Load().SetNext(first, hosted.Serve, third)
}

// randomBehavior returns a random behavior other than AnnounceLeaving.
func (s *soak) randomBehavior() hosted.Behavior {
	for {
		if behavior := hosted.Behavior(s.random.IntN(int(hosted.Behaviors))); behavior != hosted.AnnounceLeaving {
			return behavior
		}
	}
}

// announceLeaving makes a worker announce in all its answers that it leaves. Its entry stays.
func (s *soak) announceLeaving() {
	slot := s.randomSlot()
	s.logFault("worker at %s: announces that it leaves", slot.public)
	s.record.beginWorkerFault("says that it leaves")
	slot.announcesLeaving = true
	slot.worker.Load().SetDefault(hosted.AnnounceLeaving)
}

// forgetConnections makes each second link to a worker forget connections that are idle for a while,
// without notice, and reset them with the next request.
func (s *soak) forgetConnections() {
	after := time.Duration(50+s.random.IntN(250)) * time.Millisecond
	first := s.random.IntN(2)
	s.logFault("every second worker from %d on forgets connections that are idle for %v", first, after)
	s.record.beginWorkerFault("forgets connections")
	for i := first; i < len(s.slots); i += 2 {
		s.slots[i].proxy.forgetTime.Store(int64(after))
	}
}

// changeState publishes a worker as draining or as ready.
func (s *soak) changeState() {
	slot := s.randomSlot()
	state := []string{"draining", "ready"}[s.random.IntN(2)]
	s.logFault("worker at %s: %s", slot.public, state)
	s.record.beginWorkerFault("drains")
	s.publishWorker(slot, state)
}

// publishWorker publishes the state of the current worker of a slot.
func (s *soak) publishWorker(slot *workerSlot, state string) {
	worker := slot.worker.Load().ID
	if state == "ready" {
		s.record.setDraining(worker, false)
	}
	s.store.PutEndpoint(worker, slot.service, slot.public, state)
	if state != "ready" {
		s.record.setDraining(worker, true)
	}
}

// replaceWorker crashes a worker and starts another one at its address. The entry of the old
// one is deleted at once, or stays until heal.
func (s *soak) replaceWorker() {
	slot := s.randomSlot()
	old := slot.worker.Load()
	stale := s.random.IntN(2) == 0
	s.logFault("worker at %s: replaced, stale entry: %v", slot.public, stale)
	s.record.beginWorkerFault("replaced")
	slot.proxy.reset()
	if !stale {
		s.store.DeleteEndpoint(old.ID)
		s.record.setDraining(old.ID, true)
	}
	s.store.StopEndpoint(old.ID)
	s.startWorker(slot)
}

// heal ends all faults, and deletes the entries of replaced workers.
func (s *soak) heal() {
	s.restores.Wait()
	s.logFault("heal")
	s.store.SetFault(hosted.FaultNone)
	for _, proxy := range s.proxies {
		proxy.fault.Store(int32(linkHealthy))
		proxy.forgetTime.Store(0)
	}
	for _, g := range s.gateways {
		s.resume(g)
	}
	for _, slot := range s.slots {
		if slot.announcesLeaving {
			s.startWorker(slot)
		}
		current := slot.worker.Load()
		current.SetNext()
		for _, worker := range slot.all {
			if worker != current {
				s.store.DeleteEndpoint(worker.ID)
				s.record.setDraining(worker.ID, true)
			}
		}
		s.publishWorker(slot, "ready")
	}
	s.record.heal()
}
