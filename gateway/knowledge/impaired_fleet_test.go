package knowledge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// announcePeriod is how old the others' knowledge of who can lead is at most.
	announcePeriod = 250 * time.Millisecond
	// seedTimeout and queriedSeeds are those of a VM that starts.
	seedTimeout  = 80 * time.Millisecond
	queriedSeeds = 2
	// coveredTime is for how long a VM that learned from a seed does not read the store itself.
	coveredTime = 600 * time.Millisecond
)

// impairedFleet is a fleet of readers and peer readers in virtual time. In each failure domain, the first
// VM that can lead reads the store for the others.
type impairedFleet struct {
	store   *impairedStore
	domains int
	seed    uint64
	vms     []*impairedVM
	fetches atomic.Int64
	// failed is called with each violation that a VM finds.
	failed func(format string, arguments ...any)
}

// impairedVM is a place of the fleet, in which one VM after another runs.
type impairedVM struct {
	fleet  *impairedFleet
	number int
	// running is the VM that runs, nil if none does.
	running atomic.Pointer[runningVM]
	// canLead is what the VM announced last.
	canLead atomic.Bool
	// cut reports whether the VM reaches no other one.
	cut atomic.Bool
	// lostCall reports whether the VM lost a call to another one.
	lostCall atomic.Bool
	// troubledAt is the last time at which the VM did not run or did not reach the store.
	troubledAt clock.Boot
}

// runningVM is one boot of a VM. It implements PeerSource.
type runningVM struct {
	*impairedVM
	tracker   *Tracker
	reader    *Reader
	peers     *PeerReader
	startedAt clock.Boot
	stop      context.CancelFunc
	// version is the last one that was in force.
	version int64

	mu     sync.Mutex
	random *rand.Rand
	// heard are the last reports of the others, by number.
	heard []heardReport
}

// heardReport is what a VM heard of another one.
type heardReport struct {
	knows SyncRequest
	age   time.Duration
	at    clock.Boot
}

func newImpairedFleet(ctx context.Context, size, domains int, seed uint64, store *impairedStore, failed func(string, ...any)) *impairedFleet {
	f := &impairedFleet{store: store, domains: domains, seed: seed, failed: failed}
	for number := range size {
		f.vms = append(f.vms, &impairedVM{fleet: f, number: number})
	}
	for _, vm := range f.vms {
		vm.start(ctx)
	}
	return f
}

// start starts a VM that knows nothing.
func (vm *impairedVM) start(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	now := clock.Now()
	r := &runningVM{impairedVM: vm, startedAt: now, stop: stop, heard: make([]heardReport, len(vm.fleet.vms)),
		random: rand.New(rand.NewPCG(vm.fleet.seed*1000+uint64(vm.number), uint64(now)))}
	r.tracker = NewTracker(r.checkVersion)
	r.peers = NewPeerReader(r, r.tracker)
	r.reader = NewReader(&port{store: vm.fleet.store, vm: vm.number, random: rand.New(rand.NewPCG(vm.fleet.seed*1000+uint64(vm.number), uint64(now)+1))},
		r.tracker, r.shouldRead, r.othersProbe)
	vm.running.Store(r)
	go r.run(ctx)
	go r.peers.Run(ctx)
	go r.peers.FollowLeader(ctx)
	go r.hearReports(ctx)
	go r.announce(ctx)
}

// end ends the VM that runs.
func (vm *impairedVM) end() {
	if r := vm.running.Swap(nil); r != nil {
		r.stop()
	}
	vm.canLead.Store(false)
}

// run asks seeds and then reads the store.
func (r *runningVM) run(ctx context.Context) {
	seeding, cancel := context.WithTimeout(ctx, seedTimeout)
	results := make(chan error, queriedSeeds)
	for range queriedSeeds {
		seed, _ := r.draw()
		go func() { results <- r.peers.FetchOnce(seeding, fmt.Sprint(seed)) }()
	}
	for range queriedSeeds {
		err := <-results
		if _, known := r.tracker.ConfirmedAt(); err == nil && known {
			break
		}
	}
	cancel()
	r.reader.Run(ctx)
}

// checkVersion finds a version that goes back.
func (r *runningVM) checkVersion(snapshot *Snapshot) {
	version := int64(0)
	if snapshot.Configuration != nil {
		version = snapshot.Configuration.Version
	}
	if version < r.version {
		r.fleet.failed("VM %d goes back from version %d to %d", r.number, r.version, version)
	}
	r.version = version
}

// draw returns the number of a VM, and whether a message is lost.
func (r *runningVM) draw() (number int, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(len(r.fleet.vms)), r.random.Float64() < lostShare
}

// reaches returns the VM that runs with a number, nil if this one does not reach it.
func (r *runningVM) reaches(number int) *runningVM {
	other := r.fleet.vms[number]
	if r.cut.Load() || other.cut.Load() {
		return nil
	}
	return other.running.Load()
}

// hearReports keeps hearing reports of random other VMs.
func (r *runningVM) hearReports(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportPeriod)
		for range heardPeers {
			number, lost := r.draw()
			if other := r.reaches(number); !lost && other != nil && number != r.number {
				r.hear(number, other)
			}
		}
	}
}

// hear records the report of another VM.
func (r *runningVM) hear(number int, other *runningVM) {
	now := clock.Now()
	report := heardReport{knows: other.tracker.SyncRequest(), age: other.tracker.Age(now), at: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[number] = report
}

// announce keeps announcing whether this VM can lead.
func (r *runningVM) announce(ctx context.Context) {
	for clock.Sleep(ctx, announcePeriod); ctx.Err() == nil; clock.Sleep(ctx, announcePeriod) {
		_, known := r.tracker.ConfirmedAt()
		r.canLead.Store(known && !r.reader.StoreLost())
	}
}

// Leader returns the first VM of the failure domain that can lead, or of all of them.
func (r *runningVM) Leader() (address string, ok bool) {
	if leader := r.firstLeader(r.fleet.domains); leader >= 0 {
		return fmt.Sprint(leader), leader != r.number
	}
	leader := r.firstLeader(1)
	return fmt.Sprint(leader), leader >= 0 && leader != r.number
}

// firstLeader returns the first VM that can lead, of each domains-th VM; -1 if there is none.
func (r *runningVM) firstLeader(domains int) int {
	now := clock.Now()
	for number := r.number % domains; number < len(r.fleet.vms); number += domains {
		if number == r.number && !r.reader.StoreLost() {
			return number
		}
		if number == r.number || r.reaches(number) == nil {
			continue
		}
		address := fmt.Sprint(number)
		serves := r.fleet.vms[number].canLead.Load() || r.peers.RecentlyServed(address, now)
		if serves && !r.peers.RecentlyFailed(address, now) {
			return number
		}
	}
	return -1
}

func (r *runningVM) shouldRead() bool {
	now := clock.Now()
	age := r.tracker.Age(now)
	if _, follows := r.Leader(); !follows {
		return now.Sub(r.startedAt) >= coveredTime || age >= StaleAfter
	}
	return r.peers.LeaderFailed(now) || age >= StaleAfter
}

// othersProbe reports whether three VMs of the failure domain come before this one.
func (r *runningVM) othersProbe() bool {
	better := 0
	for number := r.number % r.fleet.domains; number < r.number; number += r.fleet.domains {
		if r.reaches(number) != nil {
			better++
		}
	}
	return better >= 3
}

// NewerPeer returns a random one of the VMs that know more, of the own failure domain if there is any.
func (r *runningVM) NewerPeer(request SyncRequest) (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []int
	for number := range r.heard {
		knows := &r.heard[number].knows
		switch {
		case !knows.Newest.After(request.Newest) && knows.ConfigurationVersion <= request.ConfigurationVersion:
		case r.reaches(number) == nil:
		case number%r.fleet.domains == r.number%r.fleet.domains:
			near = append(near, number)
		default:
			far = append(far, number)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return fmt.Sprint(near[r.random.IntN(len(near))]), true
}

// FreshestPeer returns the VM whose reported age is the lowest.
func (r *runningVM) FreshestPeer(era int64) (address string, age time.Duration, ok bool) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for number, report := range r.heard {
		if report.at == 0 || report.age > time.Hour || report.knows.Newest.Era < era || r.reaches(number) == nil {
			continue
		}
		if reported := report.age + now.Sub(report.at); !ok || reported < age {
			address, age, ok = fmt.Sprint(number), reported, true
		}
	}
	return address, age, ok
}

func (r *runningVM) FetchKnowledge(ctx context.Context, address string, request SyncRequest, wait time.Duration) (SyncResponse, error) {
	var number int
	if _, err := fmt.Sscan(address, &number); err != nil {
		return SyncResponse{}, err
	}
	r.fleet.fetches.Add(1)
	clock.Sleep(ctx, peerDelay)
	asked := r.reaches(number)
	if _, lost := r.draw(); lost || asked == nil {
		r.lostCall.Store(lost)
		<-ctx.Done()
		return SyncResponse{}, code.New(code.PlatformSilent, "lost")
	}
	arrived := clock.Now()
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	asked.tracker.WaitForChange(waiting, request)
	now := clock.Now()
	response := asked.tracker.SyncResponse(request, now)
	response.WaitedMS = now.Sub(arrived).Milliseconds()
	clock.Sleep(ctx, peerDelay)
	if r.reaches(number) != asked {
		<-ctx.Done()
	}
	return response, ctx.Err()
}
