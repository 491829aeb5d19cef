package soak

import (
	"fmt"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// soakStart is the time that a process takes to its first instructions; before
// them no process can handle a signal.
const soakStart = time.Second

// note adds a fault to the plan.
func (s *soak) note(format string, values ...any) {
	s.plan = append(s.plan, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, values...))
}

// fault injects one fault, or ends one.
func (s *soak) fault() {
	faults := []func(){
		s.kill, s.freeze, s.terminate, s.reload, s.cutLink, s.cutLink, s.resetLink, s.failStore, s.change, s.change, s.misbehave, s.leave, s.replace, s.sayLeaving,
	}
	faults[s.random.IntN(len(faults))]()
}

func (s *soak) anyGateway() *soakGateway {
	return s.gateways[s.random.IntN(len(s.gateways))]
}

func (s *soak) anySlot() *soakSlot {
	return s.slots[s.random.IntN(len(s.slots))]
}

func (s *soak) kill() {
	g := s.anyGateway()
	s.note("kill VM %d", g.number)
	s.restart(g, syscall.SIGKILL, 1)
}

// restart ends a process by a signal, sent once or more, and starts the next one.
func (s *soak) restart(g *soakGateway, signal syscall.Signal, times int) {
	back := s.record.harm(g.number, "restart")
	s.end(g, signal, times)
	s.start(g)
	back()
}

func (s *soak) freeze() {
	g := s.anyGateway()
	s.note("freeze VM %d: %v", g.number, g.thaw == nil)
	if g.thaw != nil {
		s.wake(g)
		return
	}
	g.thaw = s.record.harm(g.number, "freeze")
	_ = g.command.Process.Signal(syscall.SIGSTOP)
}

func (s *soak) terminate() {
	g := s.anyGateway()
	times := 1 + s.random.IntN(2)
	s.note("terminate VM %d, %d signals", g.number, times)
	s.restart(g, syscall.SIGTERM, times)
}

func (s *soak) reload() {
	g := s.anyGateway()
	if time.Since(g.started) > soakStart {
		s.note("reload VM %d", g.number)
		_ = g.command.Process.Signal(syscall.SIGHUP)
	}
}

func (s *soak) cutLink() {
	at := s.random.IntN(len(s.proxies))
	fault := linkFault(s.random.IntN(int(linkFaults)))
	s.note("link %d: fault %d", at, fault)
	s.harmLink(at, fault)
	s.proxies[at].fault.Store(int32(fault))
}

// harmLink notes what a fault of a link harms: that to the store all VMs.
func (s *soak) harmLink(at int, fault linkFault) {
	if at != storeLink {
		s.record.harmWorkers("link")
		return
	}
	if sound := s.linksSound[at]; sound != nil {
		defer sound()
	}
	if fault != linkSound {
		s.linksSound[at] = s.record.harm(everyVM, "link to the store")
		s.record.untilHealed(s.linksSound[at])
	}
}

// storeLink is the number of the link to the store.
const storeLink = 0

func (s *soak) resetLink() {
	at := s.random.IntN(len(s.proxies))
	s.note("link %d: reset", at)
	s.proxies[at].reset()
	s.record.harm(everyVM, "reset")()
}

func (s *soak) failStore() {
	fault := hosted.Fault(s.random.IntN(int(hosted.FaultHang) + 1))
	s.note("store: fault %d", fault)
	if s.storeSound != nil {
		defer s.storeSound()
	}
	if fault != hosted.FaultNone {
		s.storeSound = s.record.harm(everyVM, "store")
		s.record.untilHealed(s.storeSound)
	}
	s.store.SetFault(fault)
}

// change publishes one version or a storm of them, sometimes without history.
func (s *soak) change() {
	versions := 1 + s.random.IntN(3)
	compact := s.random.IntN(3) == 0
	s.note("%d versions, history dropped: %v", versions, compact)
	for range versions {
		s.publish()
	}
	if compact {
		s.store.Compact()
	}
}

func (s *soak) misbehave() {
	slot := s.anySlot()
	first, third := s.anyBehaviour(), s.anyBehaviour()
	s.note("worker at %s: %d, %d", slot.public, first, third)
	s.record.harmWorkers("misbehaviour")
	slot.worker.Load().SetNext(first, hosted.Serve, third)
}

// anyBehaviour returns one of the behaviours of a worker that stays.
func (s *soak) anyBehaviour() hosted.Behavior {
	for {
		if behaviour := hosted.Behavior(s.random.IntN(int(hosted.RefuseEndlessly) + 1)); behaviour != hosted.AnnounceLeaving {
			return behaviour
		}
	}
}

// sayLeaving lets a worker say in all its answers that it leaves; its entry stays.
func (s *soak) sayLeaving() {
	slot := s.anySlot()
	s.note("worker at %s: says that it leaves", slot.public)
	s.record.harmWorkers("says that it leaves")
	slot.leaves = true
	slot.worker.Load().SetDefault(hosted.AnnounceLeaving)
}

// leave lets a worker drain, and another time come back.
func (s *soak) leave() {
	slot := s.anySlot()
	state := []string{"draining", "ready"}[s.random.IntN(2)]
	s.note("worker at %s: %s", slot.public, state)
	s.record.harmWorkers("drains")
	s.publishWorker(slot, state)
}

// publishWorker publishes the state of the worker at an address.
func (s *soak) publishWorker(slot *soakSlot, state string) {
	worker := slot.worker.Load().ID
	if state == "ready" {
		s.record.drain(worker, false)
	}
	s.store.PutEndpoint(worker, slot.service, slot.public, state)
	if state != "ready" {
		s.record.drain(worker, true)
	}
}

// replace lets another worker have the address of one that crashes. The entry of
// the old one goes at once, or stays behind.
func (s *soak) replace() {
	slot := s.anySlot()
	old := slot.worker.Load()
	stale := s.random.IntN(2) == 0
	s.note("worker at %s: replaced, stale entry: %v", slot.public, stale)
	s.record.harmWorkers("replaced")
	slot.proxy.reset()
	if !stale {
		s.store.DeleteEndpoint(old.ID)
		s.record.drain(old.ID, true)
	}
	s.enter(slot)
}

// heal ends all faults.
func (s *soak) heal() {
	s.note("heal")
	s.store.SetFault(hosted.FaultNone)
	for _, proxy := range s.proxies {
		proxy.fault.Store(int32(linkSound))
	}
	for _, g := range s.gateways {
		s.wake(g)
	}
	for _, slot := range s.slots {
		if slot.leaves {
			s.enter(slot)
		}
		now := slot.worker.Load()
		now.SetNext()
		for _, worker := range slot.all {
			if worker != now {
				s.store.DeleteEndpoint(worker.ID)
				s.record.drain(worker.ID, true)
			}
		}
		s.publishWorker(slot, "ready")
	}
	s.record.heal()
}
