package knowledge

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	entryLifetime   = 3 * heartbeatPeriod
	// tick is the time between two looks at what is due.
	tick = 50 * time.Millisecond
	// copyPeriod is the time between two copies of the store.
	copyPeriod = 400 * time.Millisecond
	// maxCopyAge is the age of the oldest copy that the store comes back from.
	maxCopyAge = 12 * time.Second
	// servedAfterLeaving bounds how long an endpoint runs after it left.
	minServedAfterLeaving, maxServedAfterLeaving = 2 * time.Second, 9 * time.Second
)

// timedCopy is a copy of the store.
type timedCopy struct {
	contents storeCopy
	at       clock.Boot
}

// series plays random changes and impairments before an impairedFleet.
type series struct {
	ctx      context.Context
	fleet    *impairedFleet
	store    *impairedStore
	operator *operator

	mu sync.Mutex
	// seed is the seed of the series, loops the number of loops that draw.
	seed, loops uint64
	// troubledAt is the last time at which the store was impaired for all VMs.
	troubledAt clock.Boot
	// impaired is the number of impairments of the store for all VMs that go on.
	impaired  int
	copies    []timedCopy
	endpoints []*publishedEndpoint
	// listedAt and listedSince are the last time at which the store listed an instance as ready, and the
	// first one since then.
	listedAt, listedSince map[traffic.Instance]clock.Boot
	// listed are the positions of the last entries, by ID.
	listed          map[string]traffic.Position
	nextID, nextKey int
	liveKeys        []string
	// leaseLapses reports whether leases go on while the store is away.
	leaseLapses bool
}

func newSeries(ctx context.Context, size, domains int, seed uint64, failed func(string, ...any)) *series {
	s := &series{ctx: ctx, store: newImpairedStore(), seed: seed,
		listedAt: map[traffic.Instance]clock.Boot{}, listedSince: map[traffic.Instance]clock.Boot{}, listed: map[string]traffic.Position{}}
	s.operator = newOperator(s.store)
	s.publish(s.newScript())
	for range 12 {
		s.register()
	}
	s.fleet = newImpairedFleet(ctx, size, domains, seed, s.store, failed)
	return s
}

// pause sleeps. It reports whether the series goes on.
func (s *series) pause(duration time.Duration) bool {
	clock.Sleep(s.ctx, duration)
	return s.ctx.Err() == nil
}

// keepPublishing publishes configurations until the series ends.
func (s *series) keepPublishing(script script) {
	for s.pause(script.between(100*time.Millisecond, 1500*time.Millisecond)) {
		s.mu.Lock()
		s.publish(script)
		s.mu.Unlock()
	}
}

// publish adds or withdraws a key. The caller holds the lock.
func (s *series) publish(script script) {
	if len(s.liveKeys) > 3 && script.IntN(2) == 0 {
		at := script.IntN(len(s.liveKeys))
		if s.operator.publish("", s.liveKeys[at]) {
			s.liveKeys = append(s.liveKeys[:at], s.liveKeys[at+1:]...)
		}
		return
	}
	s.nextKey++
	key := fmt.Sprint("key", s.nextKey)
	if s.operator.publish(key, "") {
		s.liveKeys = append(s.liveKeys, key)
	}
}

// register starts a new endpoint. The caller holds the lock, or nothing else runs yet.
func (s *series) register() {
	s.nextID++
	s.endpoints = append(s.endpoints, &publishedEndpoint{id: fmt.Sprint("e", s.nextID), startedMS: startMS(), renewedAt: clock.Now()})
	s.endpoints[len(s.endpoints)-1].heartbeat(s.store, clock.Now())
}

// startMS is the Unix millisecond of a start now.
func startMS() int64 {
	return time.Now().UnixMilli()
}

// keepEndpoints lets endpoints renew their entries and lets the store expire those that do not.
func (s *series) keepEndpoints(script) {
	for s.pause(tick) {
		s.mu.Lock()
		now := clock.Now()
		for _, endpoint := range s.endpoints {
			if now.Sub(endpoint.renewedAt) >= heartbeatPeriod {
				endpoint.heartbeat(s.store, now)
			}
			if !s.store.away() && now.Sub(endpoint.renewedAt) > entryLifetime {
				s.store.remove(endpoint.id)
			}
		}
		s.mu.Unlock()
	}
}

// recordListed records which instances the store lists as ready. The caller holds the lock.
func (s *series) recordListed(now clock.Boot) {
	for _, endpoint := range s.endpoints {
		listed := s.store.endpoint(endpoint.id)
		if listed == nil || listed.Draining {
			continue
		}
		instance := listed.Instance()
		if listed.Position != s.listed[endpoint.id] {
			s.listed[endpoint.id] = listed.Position
			s.listedSince[instance] = now
		}
		s.listedAt[instance] = now
	}
}

// changeEndpoints changes random endpoints until the series ends.
func (s *series) changeEndpoints(script script) {
	for s.pause(script.between(200*time.Millisecond, 1200*time.Millisecond)) {
		s.mu.Lock()
		endpoint := s.endpoints[script.IntN(len(s.endpoints))]
		served, cut := script.between(minServedAfterLeaving, maxServedAfterLeaving), script.between(time.Second, 6*time.Second)
		switch script.IntN(8) {
		case 0, 1:
			s.leave(endpoint, stateDraining, served)
		case 2:
			s.leave(endpoint, stateUnlisted, served)
		case 3:
			if endpoint.state == stateReady {
				endpoint.state = stateEnded
			}
		case 4:
			s.restart(endpoint)
		case 5:
			s.cutEndpoint(endpoint, cut)
		default:
			s.register()
		}
		s.mu.Unlock()
	}
}

// leave lets a ready endpoint drain, or removes its entry; it ends some time later. The caller holds the
// lock.
func (s *series) leave(endpoint *publishedEndpoint, state publishedState, served time.Duration) {
	if endpoint.state != stateReady || endpoint.cut || s.store.away() {
		return
	}
	now := clock.Now()
	endpoint.state = state
	if state == stateUnlisted {
		s.store.remove(endpoint.id)
	}
	endpoint.heartbeat(s.store, now)
	endpoint.leftPosition = s.store.position()
	if s.impaired == 0 && now.Sub(s.troubledAt) >= stableTime {
		endpoint.leftAt = now
	}
	time.AfterFunc(served, func() { s.endLeft(endpoint) })
}

// endLeft ends an endpoint that left.
func (s *series) endLeft(endpoint *publishedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if endpoint.state == stateDraining && !s.store.away() && s.ctx.Err() == nil {
		s.store.remove(endpoint.id)
	}
	endpoint.state = stateEnded
}

// restart starts an ended endpoint under its ID. The caller holds the lock.
func (s *series) restart(endpoint *publishedEndpoint) {
	if endpoint.state != stateEnded {
		return
	}
	endpoint.state, endpoint.startedMS, endpoint.sequence, endpoint.leftAt = stateReady, startMS(), 0, 0
	endpoint.heartbeat(s.store, clock.Now())
}

// cutEndpoint cuts an endpoint off from the store for a while. The caller holds the lock.
func (s *series) cutEndpoint(endpoint *publishedEndpoint, duration time.Duration) {
	endpoint.cut = true
	time.AfterFunc(duration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		endpoint.cut = false
	})
}

// disturbVMs lets VMs start anew, cuts them off and lets the store refuse them.
func (s *series) disturbVMs(script script) {
	for s.pause(script.between(300*time.Millisecond, 3*time.Second)) {
		for range 1 + script.IntN(1+len(s.fleet.vms)/6) {
			vm := s.fleet.vms[script.IntN(len(s.fleet.vms))]
			switch script.IntN(4) {
			case 0:
				go s.cutVM(vm, script.between(500*time.Millisecond, 4*time.Second))
			case 1:
				go s.refuseVM(vm, script.fault(), script.between(500*time.Millisecond, 5*time.Second))
			default:
				go s.restartVM(vm, script.between(50*time.Millisecond, time.Second))
			}
		}
	}
}

func (s *series) cutVM(vm *impairedVM, duration time.Duration) {
	vm.cut.Store(true)
	s.pause(duration)
	vm.cut.Store(false)
}

func (s *series) refuseVM(vm *impairedVM, fault storeFault, duration time.Duration) {
	s.store.set(func(store *impairedStore) { store.refused[vm.number] = fault })
	s.pause(duration)
	s.store.set(func(store *impairedStore) { delete(store.refused, vm.number) })
}

func (s *series) restartVM(vm *impairedVM, away time.Duration) {
	if vm.running.Load() == nil {
		return
	}
	vm.end()
	if s.pause(away) && vm.running.Load() == nil {
		vm.start(s.ctx)
	}
}

// disturbStore impairs the store until the series ends.
func (s *series) disturbStore(script script) {
	for s.pause(script.between(200*time.Millisecond, 8*time.Second)) {
		switch script.IntN(8) {
		case 0:
			s.impair(func() { s.slowStore(script) })
		case 1:
			s.impair(func() { s.loseAnswers(script) })
		case 2:
			s.impair(s.dropHistory)
		case 3:
			s.impair(func() { s.storeAway(false, script) })
		case 4:
			s.loseStore(script)
			s.pause(script.between(0, 2*time.Second))
			s.loseStore(script)
		default:
			s.loseStore(script)
		}
	}
}

// impair runs an impairment of the store for all VMs.
func (s *series) impair(impairment func()) {
	s.mu.Lock()
	s.impaired++
	s.mu.Unlock()
	impairment()
	s.mu.Lock()
	s.impaired--
	s.troubledAt = clock.Now()
	s.mu.Unlock()
}

func (s *series) slowStore(script script) {
	s.store.set(func(store *impairedStore) { store.minDelay, store.maxDelay = 50*time.Millisecond, 400*time.Millisecond })
	s.pause(script.between(500*time.Millisecond, 4*time.Second))
	s.store.set(func(store *impairedStore) { store.minDelay, store.maxDelay = 0, 0 })
}

func (s *series) loseAnswers(script script) {
	s.store.set(func(store *impairedStore) { store.lostAnswers = 0.3 })
	s.pause(script.between(500*time.Millisecond, 4*time.Second))
	s.store.set(func(store *impairedStore) { store.lostAnswers = 0 })
}

func (s *series) dropHistory() {
	s.store.dropHistory()
	s.pause(time.Second)
}

// loseStore lets the store come back from a copy. The operator and some endpoints write again at once,
// the other endpoints with their next heartbeat.
func (s *series) loseStore(script script) {
	s.impair(func() { s.storeAway(true, script) })
	untilWritten := script.between(100*time.Millisecond, 1500*time.Millisecond)
	go func() {
		if s.pause(untilWritten) {
			s.operator.writeAgain()
		}
	}()
}

// storeAway lets the store be away, and come back from a copy if it is lost.
func (s *series) storeAway(lost bool, script script) {
	fault, age, duration := script.fault(), script.between(0, maxCopyAge), script.between(500*time.Millisecond, 4*time.Second)
	s.mu.Lock()
	copied := s.copyOfAge(age)
	s.leaseLapses = script.IntN(2) == 0
	s.mu.Unlock()
	s.store.set(func(store *impairedStore) { store.fault = fault })
	s.pause(duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaseLapses {
		s.renewLeases(clock.Now())
	}
	if lost {
		s.store.restoreFrom(copied)
	}
	s.store.set(func(store *impairedStore) { store.fault = faultNone })
}

// renewLeases lets the leases of all entries begin anew. The caller holds the lock.
func (s *series) renewLeases(now clock.Boot) {
	for _, endpoint := range s.endpoints {
		endpoint.renewedAt = now
	}
}

// keepCopies takes a copy of the store now and then.
func (s *series) keepCopies(script) {
	for s.pause(copyPeriod) {
		if s.store.away() {
			continue
		}
		copied := timedCopy{s.store.copy(), clock.Now()}
		s.mu.Lock()
		s.copies = append(s.copies, copied)
		s.mu.Unlock()
	}
}

// copyOfAge returns the newest copy of an age, or the oldest one. The caller holds the lock.
func (s *series) copyOfAge(age time.Duration) storeCopy {
	if len(s.copies) == 0 {
		return s.store.copy()
	}
	now := clock.Now()
	for at := len(s.copies) - 1; at > 0; at-- {
		if now.Sub(s.copies[at].at) >= age {
			return s.copies[at].contents
		}
	}
	return s.copies[0].contents
}
