package budget

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/reportnet"
)

const (
	// emulatedStep is the resolution of virtual time.
	emulatedStep = 10 * time.Millisecond
	// downTime is how long a VM that starts anew is away.
	downTime = 500 * time.Millisecond
	// retriesEach is the number of retries that each failed request asks for.
	retriesEach = 4
	// findTime is how long a VM that has started knows of one other VM only.
	findTime = 500 * time.Millisecond
	// relayedHeartbeats is the number of heartbeats in a report.
	relayedHeartbeats = 24
)

// disturbance is what happens to a share of the VMs at a time after the start.
type disturbance struct {
	at    time.Duration
	share float64
	// cut is for how long these VMs are cut off from all others; 0 if they start anew.
	cut time.Duration
}

// fleetOptions describe an emulatedFleet.
type fleetOptions struct {
	vms int
	// rate is the requests per second of all VMs.
	rate float64
	// failFrom and failUntil are the times between which all requests fail.
	failFrom, failUntil time.Duration
	disturbances        []disturbance
	// reports makes the VMs count each other by reports, of which the share loss is lost.
	// Otherwise a VM knows the others findTime after its start.
	reports bool
	loss    float64
	seed    uint64
}

// emulatedFleet plays the Budgets of VMs in virtual time.
type emulatedFleet struct {
	fleetOptions
	now     clock.Boot
	random  *rand.Rand
	network *reportnet.Network
	vms     []*emulatedVM
	// requests and retries are counted for each step.
	requests, retries []float64
}

type emulatedVM struct {
	address    string
	table      *gossip.Table
	budget     *Budget
	sequence   int64
	nextReport clock.Boot
	started    clock.Boot
	cutUntil   clock.Boot
}

func newEmulatedFleet(options fleetOptions) *emulatedFleet {
	f := &emulatedFleet{fleetOptions: options, now: testStart, random: rand.New(rand.NewPCG(options.seed, 38))}
	f.network = &reportnet.Network{VMs: options.vms, Loss: options.loss, Random: f.random}
	for i := range options.vms {
		vm := &emulatedVM{address: emulatedAddress(i)}
		f.vms = append(f.vms, vm)
		f.start(vm, testStart)
	}
	return f
}

func emulatedAddress(i int) string {
	return netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}).String()
}

// start starts a process that knows nothing.
func (f *emulatedFleet) start(vm *emulatedVM, at clock.Boot) {
	vm.started, vm.sequence = at, 0
	vm.nextReport = at.Add(time.Duration(f.random.Int64N(int64(f.network.Period()))))
	vm.table = gossip.NewTable(vm.address, []string{emulatedAddress(0), emulatedAddress(1)})
	vm.budget = New(testLimits, func() (int, bool) { return f.count(vm) }, at)
}

// count returns the number of VMs that a VM counts, and whether it has heard of another.
func (f *emulatedFleet) count(vm *emulatedVM) (int, bool) {
	if f.reports {
		return vm.table.FleetSize(f.now)
	}
	if f.now.Sub(vm.started) < findTime {
		return 2, true
	}
	return len(f.vms), true
}

// run plays the fleet for a while.
func (f *emulatedFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now < end; {
		f.now = f.now.Add(emulatedStep)
		f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
		f.disturb()
		if f.reports {
			f.exchangeReports()
		}
		f.serve()
	}
}

// disturb lets VMs start anew and cuts them off when it is time.
func (f *emulatedFleet) disturb() {
	for _, d := range f.disturbances {
		if elapsed := f.now.Sub(testStart); elapsed < d.at || elapsed >= d.at+emulatedStep {
			continue
		}
		for _, i := range f.random.Perm(len(f.vms))[:int(d.share*float64(len(f.vms)))] {
			if d.cut > 0 {
				f.vms[i].cutUntil = f.now.Add(d.cut)
				continue
			}
			f.start(f.vms[i], f.now.Add(downTime))
		}
	}
}

func (f *emulatedFleet) exchangeReports() {
	f.network.Deliver(f.now, func(to int, report gossip.Report) {
		if vm := f.vms[to]; f.connected(vm) {
			vm.table.Receive(report, f.now)
		}
	})
	for i, vm := range f.vms {
		if vm.nextReport > f.now {
			continue
		}
		vm.nextReport = vm.nextReport.Add(f.network.Period())
		vm.sequence++
		vm.table.UpdateLiveness(f.now)
		if f.connected(vm) {
			f.network.Send(i, gossip.Report{
				Address: vm.address, Incarnation: int64(vm.started), Sequence: vm.sequence,
				Heartbeats: vm.table.SampleHeartbeats("", relayedHeartbeats, f.random, f.now),
			}, f.now)
		}
	}
}

// connected reports whether a VM runs and reaches the others.
func (f *emulatedFleet) connected(vm *emulatedVM) bool {
	return vm.started <= f.now && vm.cutUntil <= f.now
}

// serve lets requests of this step arrive at VMs that run.
func (f *emulatedFleet) serve() {
	at := len(f.requests) - 1
	elapsed := f.now.Sub(testStart)
	fails := elapsed >= f.failFrom && elapsed < f.failUntil
	for range f.arrivals() {
		f.requests[at]++
		vm := f.vms[f.random.IntN(len(f.vms))]
		if vm.started > f.now {
			continue
		}
		vm.budget.RecordRequest("s", f.now)
		for range retriesEach {
			if fails && vm.budget.Take("s", f.now) {
				f.retries[at]++
			}
		}
	}
}

// arrivals returns the number of requests in one step.
func (f *emulatedFleet) arrivals() int {
	mean := f.rate * emulatedStep.Seconds()
	count := int(mean)
	if f.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// worstExcess returns by how much the retries of the worst window exceed the bound: the slack
// plus the ratio of the requests in that window, the one before it or the one half a window before
// it, whichever has most.
func (f *emulatedFleet) worstExcess() float64 {
	window := int(testWindow / emulatedStep)
	requests, retries := prefixSums(f.requests), prefixSums(f.retries)
	excess := -testSlack
	for from := 0; from+window < len(requests); from++ {
		most := 0.0
		for _, earlier := range []int{0, window / 2, window} {
			if begin := from - earlier; begin >= 0 {
				most = max(most, requests[begin+window]-requests[begin])
			}
		}
		excess = max(excess, retries[from+window]-retries[from]-testRatio*most-testSlack)
	}
	return excess
}

// prefixSums returns the sums of the first 0, 1, 2 and so on values.
func prefixSums(values []float64) []float64 {
	sums := slices.Grow([]float64{0}, len(values))
	for i, value := range values {
		sums = append(sums, sums[i]+value)
	}
	return sums
}
