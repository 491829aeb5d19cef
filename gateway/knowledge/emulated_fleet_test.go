package knowledge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/clock/clocktest"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	// heardPeers is the number of random VMs whose reports a VM hears in each reportPeriod.
	heardPeers   = 4
	reportPeriod = 250 * time.Millisecond
	// lostShare is the share of reports and of calls between VMs that are lost.
	lostShare = 0.1
	// peerDelay is the time of a call between VMs.
	peerDelay = 2 * time.Millisecond
	// countedSpan is the span in which calls between VMs are counted: many turns of each VM.
	countedSpan = 10 * time.Second
)

// emulatedFleet is a fleet of readers and peer readers in virtual time, before one store. The first
// VM of each failure domain leads it.
type emulatedFleet struct {
	store   *cuttableStore
	domains int
	mu      sync.Mutex
	vms     []*emulatedVM
	// fetches counts the calls between VMs.
	fetches int
}

// cuttableStore is a modelStore that can be away.
type cuttableStore struct {
	*modelStore
	mu    sync.Mutex
	away  bool
	calls int
}

func (s *cuttableStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// call counts a call and fails it while the store is away.
func (s *cuttableStore) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return code.New(code.PlatformSilent, "away")
	}
	return nil
}

func (s *cuttableStore) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	if err := s.call(); err != nil {
		return platform.Page{}, err
	}
	return s.modelStore.Range(ctx, prefix, after)
}

func (s *cuttableStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Changes, error) {
	for end := clock.Now().Add(wait); ; clock.Sleep(ctx, 10*time.Millisecond) {
		if err := s.call(); err != nil {
			return platform.Changes{}, err
		}
		changes, err := s.since(after)
		if err != nil || len(changes.Items) > 0 || clock.Now() >= end || ctx.Err() != nil {
			return changes, err
		}
	}
}

// emulatedVM is one VM. It implements PeerSource.
type emulatedVM struct {
	fleet   *emulatedFleet
	number  int
	tracker *Tracker
	reader  *Reader
	peers   *PeerReader
	stop    context.CancelFunc
	// mu protects random, which each VM has for itself, so that the order in which VMs draw does not
	// matter.
	mu     sync.Mutex
	random *rand.Rand
	// heard are the last reports that it heard of others, by number.
	heard map[int]SyncRequest
}

func newEmulatedFleet(ctx context.Context, size, domains int, store *modelStore) *emulatedFleet {
	f := &emulatedFleet{store: &cuttableStore{modelStore: store}, domains: domains, vms: make([]*emulatedVM, size)}
	for number := range size {
		f.start(ctx, number)
	}
	return f
}

// start starts a VM that knows nothing, in place of the one with that number.
func (f *emulatedFleet) start(ctx context.Context, number int) {
	ctx, stop := context.WithCancel(ctx)
	vm := &emulatedVM{fleet: f, number: number, tracker: NewTracker(nil), stop: stop, heard: map[int]SyncRequest{},
		random: rand.New(rand.NewPCG(uint64(number), uint64(clock.Now())))}
	vm.peers = NewPeerReader(vm, vm.tracker)
	vm.reader = NewReader(f.store, vm.tracker, vm.shouldRead, never)
	f.mu.Lock()
	if before := f.vms[number]; before != nil {
		before.stop()
	}
	f.vms[number] = vm
	f.mu.Unlock()
	go vm.reader.Run(ctx)
	go vm.peers.Run(ctx)
	go vm.peers.FollowLeader(ctx)
	go vm.hearReports(ctx)
}

// draw returns the number of a VM, and whether a message is lost.
func (vm *emulatedVM) draw() (number int, lost bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.random.IntN(len(vm.fleet.vms)), vm.random.Float64() < lostShare
}

func (f *emulatedFleet) vm(number int) *emulatedVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[number]
}

// hearReports keeps hearing reports of random other VMs.
func (vm *emulatedVM) hearReports(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportPeriod)
		for range heardPeers {
			number, lost := vm.draw()
			if lost || number == vm.number {
				continue
			}
			report := vm.fleet.vm(number).tracker.SyncRequest()
			vm.fleet.mu.Lock()
			vm.heard[number] = report
			vm.fleet.mu.Unlock()
		}
	}
}

// leads reports whether this VM reads the store for its failure domain.
func (vm *emulatedVM) leads() bool {
	return vm.number < vm.fleet.domains
}

func (vm *emulatedVM) shouldRead() bool {
	now := clock.Now()
	return vm.leads() || vm.peers.LeaderFailed(now) || vm.tracker.Age(now) >= StaleAfter
}

func (vm *emulatedVM) Leader() (address string, ok bool) {
	return fmt.Sprint(vm.number % vm.fleet.domains), !vm.leads()
}

func (vm *emulatedVM) NewerPeer(request SyncRequest) (address string, ok bool) {
	vm.fleet.mu.Lock()
	defer vm.fleet.mu.Unlock()
	for number := range vm.fleet.vms {
		report := vm.heard[number]
		if report.Newest.After(request.Newest) || report.ConfigurationVersion > request.ConfigurationVersion {
			return fmt.Sprint(number), true
		}
	}
	return "", false
}

func (vm *emulatedVM) FreshestPeer(int64) (address string, age time.Duration, ok bool) {
	return "", 0, false
}

func (vm *emulatedVM) FetchKnowledge(ctx context.Context, address string, request SyncRequest, wait time.Duration) (SyncResponse, error) {
	var number int
	if _, err := fmt.Sscan(address, &number); err != nil {
		return SyncResponse{}, err
	}
	vm.fleet.mu.Lock()
	vm.fleet.fetches++
	vm.fleet.mu.Unlock()
	clock.Sleep(ctx, peerDelay)
	if _, lost := vm.draw(); lost {
		<-ctx.Done()
		return SyncResponse{}, code.New(code.PlatformSilent, "lost")
	}
	asked := vm.fleet.vm(number).tracker
	arrived := clock.Now()
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asked.WaitForChange(waiting, request)
	now := clock.Now()
	response := asked.SyncResponse(request, now)
	response.WaitedMS = now.Sub(arrived).Milliseconds()
	clock.Sleep(ctx, peerDelay)
	return response, ctx.Err()
}

// behind returns the number of VMs that do not have a version and a draining endpoint.
func (f *emulatedFleet) behind(version int64, draining string) int {
	count := 0
	for number := range f.vms {
		snapshot := f.vm(number).tracker.Snapshot()
		endpoint := snapshot.Endpoints[draining]
		if snapshot.Configuration == nil || snapshot.Configuration.Version != version || endpoint == nil || !endpoint.Draining {
			count++
		}
	}
	return count
}

// fetchesIn returns the number of calls between VMs in a span of time.
func (f *emulatedFleet) fetchesIn(span time.Duration) int {
	f.mu.Lock()
	before := f.fetches
	f.mu.Unlock()
	time.Sleep(span)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetches - before
}

// TestChangesAreInForceInFleetsOfAllSizesAfterRestore restores the store twice, loses messages and
// starts a fifth of the VMs anew: what is published afterwards must be in force everywhere in time,
// without a storm of calls between VMs of different eras.
func TestChangesAreInForceInFleetsOfAllSizesAfterRestore(t *testing.T) {
	for _, fleet := range []struct {
		size, domains int
		maxDelay      time.Duration
	}{{7, 3, 2 * time.Second}, {74, 4, 3 * time.Second}, {300, 9, 7 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			clocktest.UseVirtualTime(t)
			ctx, cancel := context.WithCancel(t.Context())
			store := newModelStore()
			store.write(configurationItem(1, 0))
			store.write(entryItem("a", traffic.Position{}, 1, 1, "ready"))
			f := newEmulatedFleet(ctx, fleet.size, fleet.domains, store)
			time.Sleep(5 * time.Second)
			calm := f.fetchesIn(countedSpan)
			copied := store.copy()
			store.write(configurationItem(2, 0))
			store.write(configurationItem(3, 0))
			for range 2 {
				f.loseStore(ctx, copied)
			}
			store.write(entryItem("a", traffic.Position{}, 1, 2, "draining"))
			store.write(configurationItem(4, 0))
			time.Sleep(fleet.maxDelay)
			if count := f.behind(4, "a"); count > 0 {
				t.Errorf("%d of %d VMs are behind after %v", count, fleet.size, fleet.maxDelay)
			}
			time.Sleep(10 * time.Second)
			if after := f.fetchesIn(countedSpan); after > 2*calm {
				t.Errorf("%d VMs: %d calls between VMs in %v after the restores, %d before", fleet.size, after, countedSpan, calm)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// loseStore lets the store be away, start again from a copy and get the operator's version again,
// while a fifth of the VMs start anew.
func (f *emulatedFleet) loseStore(ctx context.Context, copied storeCopy) {
	f.store.setAway(true)
	time.Sleep(time.Second)
	f.store.restore(copied)
	for number := 0; number < len(f.vms); number += 5 {
		f.start(ctx, number)
	}
	f.store.setAway(false)
	time.Sleep(500 * time.Millisecond)
	f.store.write(configurationItem(3, 0))
	time.Sleep(500 * time.Millisecond)
}
