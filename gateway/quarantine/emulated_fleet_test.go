package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/reportnet"
)

// emulatedStep is the resolution of virtual time.
const emulatedStep = 10 * time.Millisecond

// emulatedProof is how long an answer must have gone on to clear the parts of its prompt.
const emulatedProof = 250 * time.Millisecond

// fleetOptions describe an emulatedFleet.
type fleetOptions struct {
	vms, engines int
	// soundRate and deadlyRate are the requests per second of all VMs, without and with a
	// deadly part. deadlyParts is the number of different deadly parts.
	soundRate, deadlyRate float64
	deadlyParts           int
	// templates and documents are the numbers of first and second parts of sound prompts.
	templates, documents int
	// loss is the share of reports that are lost.
	loss float64
	// whole makes requests have no prompt: a sound one is one of so many documents, and the deadly
	// parts are requests that come again and again.
	whole bool
	// restartAll are the times after the start of the deadly requests at which all VMs start anew.
	restartAll []time.Duration
	// restartEvery is the time after which a random VM starts anew, 0 for never.
	restartEvery time.Duration
	seed         uint64
}

// emulatedFleet plays VMs with Ledgers and engines that crash in virtual time.
type emulatedFleet struct {
	fleetOptions
	now    clock.Boot
	random *rand.Rand
	// staggers has a stream of its own, so that it does not change the others.
	staggers *rand.Rand
	vms      []*emulatedVM
	engines  []*emulatedEngine
	service  string
	flights  []*flight
	// requests is the number of requests so far, without attempts after the first.
	requests uint64
	network  *reportnet.Network
	// crashes are the times at which engines crashed under each deadly part.
	crashes map[uint64][]clock.Boot
	// lateArrivals counts requests with a deadly part that reached engines, sent by VMs in
	// touch later than stable after it had crashed as many as allowedCrashes.
	stable       time.Duration
	lateArrivals map[uint64]int
	// sound and refused count sound requests since countFrom, and those in quarantine.
	countFrom      clock.Boot
	sound, refused int
}

type emulatedVM struct {
	ledger     *Ledger
	nextReport clock.Boot
	started    clock.Boot
}

// emulatedEngine is an engine; boot numbers its incarnations.
type emulatedEngine struct {
	id      int
	boot    int64
	downTo  clock.Boot
	flights map[*flight]bool
}

// flight is an attempt in progress.
type flight struct {
	vm       *emulatedVM
	engine   *emulatedEngine
	instance traffic.Instance
	parts    []uint64
	attempts int
	sentAt   clock.Boot
	beginsAt clock.Boot
	endsAt   clock.Boot
	began    bool
	proved   bool
}

// Part IDs of the emulation.
const (
	firstTemplate = uint64(1000)
	firstDocument = uint64(10_000)
	firstDeadly   = uint64(100_000)
	firstOwn      = uint64(1_000_000)
)

func newEmulatedFleet(options fleetOptions) *emulatedFleet {
	f := &emulatedFleet{
		fleetOptions: options, now: clock.Boot(time.Hour), random: rand.New(rand.NewPCG(options.seed, 32)), staggers: rand.New(rand.NewPCG(options.seed, 38)), service: "assist",
		crashes: map[uint64][]clock.Boot{}, lateArrivals: map[uint64]int{}, stable: 3 * time.Second,
	}
	f.network = &reportnet.Network{VMs: options.vms, Loss: options.loss, Random: f.random}
	if f.network.Large() {
		f.stable = 5 * time.Second
	}
	for range options.vms {
		f.vms = append(f.vms, &emulatedVM{ledger: NewLedger(f.staggers.Float64()), nextReport: f.now.Add(time.Duration(f.random.Int64N(int64(f.network.Period()))))})
	}
	for i := range options.engines {
		f.engines = append(f.engines, &emulatedEngine{id: i, flights: map[*flight]bool{}})
	}
	return f
}

// run plays the fleet for a while.
func (f *emulatedFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now < end; {
		f.now = f.now.Add(emulatedStep)
		f.deliverReports()
		f.sendReports()
		f.restartVM()
		f.progress()
		for range f.arrivals(f.soundRate) {
			f.ask(f.soundParts(), 1, f.randomVM())
		}
		for range f.arrivals(f.deadlyRate) {
			f.ask(f.deadlyPrompt(), 1, f.randomVM())
		}
	}
}

// arrivals returns the number of requests in one step.
func (f *emulatedFleet) arrivals(rate float64) int {
	mean := rate * emulatedStep.Seconds()
	count := int(mean)
	if f.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

func (f *emulatedFleet) randomVM() *emulatedVM { return f.vms[f.random.IntN(len(f.vms))] }

// allowedCrashes returns after how many crashes a part must be known.
func (f *emulatedFleet) allowedCrashes() int {
	if f.whole {
		return 3
	}
	return 5
}

// soundParts returns the parts of a sound prompt. The last one is its own.
func (f *emulatedFleet) soundParts() []uint64 {
	document := f.random.IntN(f.documents)
	f.requests++
	if f.whole {
		return []uint64{firstDocument + uint64(document)}
	}
	return []uint64{firstTemplate + uint64(document%f.templates), firstDocument + uint64(document), firstOwn + f.requests}
}

// deadlyPrompt returns the parts of a sound prompt with a deadly part at a random place before the last.
func (f *emulatedFleet) deadlyPrompt() []uint64 {
	deadly := firstDeadly + f.random.Uint64N(uint64(f.deadlyParts))
	if f.whole {
		return []uint64{deadly}
	}
	return slices.Insert(f.soundParts(), f.random.IntN(3), deadly)
}

// deadlyPart returns the deadly part of a prompt.
func deadlyPart(parts []uint64) (uint64, bool) {
	at := slices.IndexFunc(parts, func(part uint64) bool { return part >= firstDeadly && part < firstOwn })
	if at < 0 {
		return 0, false
	}
	return parts[at], true
}

// ask sends a request from a VM to a random engine that is up.
func (f *emulatedFleet) ask(parts []uint64, attempts int, vm *emulatedVM) {
	deadly, isDeadly := deadlyPart(parts)
	counts := !isDeadly && attempts == 1 && f.countFrom != 0 && f.now >= f.countFrom
	if counts {
		f.sound++
	}
	if _, found := vm.ledger.Find(parts, f.now); found {
		if counts {
			f.refused++
		}
		return
	}
	var up []*emulatedEngine
	for _, engine := range f.engines {
		if engine.downTo <= f.now {
			up = append(up, engine)
		}
	}
	if len(up) == 0 {
		return
	}
	engine := up[f.random.IntN(len(up))]
	allowed := f.allowedCrashes()
	if isDeadly && len(f.crashes[deadly]) >= allowed && f.now.Sub(f.crashes[deadly][allowed-1]) > f.stable && f.now.Sub(vm.started) > f.stable {
		f.lateArrivals[deadly]++
	}
	begins := f.now.Add(f.waitBeforeAnswer())
	one := &flight{
		vm: vm, engine: engine, instance: traffic.Instance{ID: fmt.Sprint("engine-", engine.id), StartedMS: engine.boot}, parts: parts, attempts: attempts,
		sentAt: f.now, beginsAt: begins, endsAt: begins.Add(time.Duration(50+f.random.IntN(3000)) * time.Millisecond),
	}
	engine.flights[one] = true
	f.flights = append(f.flights, one)
}

// waitBeforeAnswer returns how long an engine takes until it begins an answer.
func (f *emulatedFleet) waitBeforeAnswer() time.Duration {
	if f.whole {
		return time.Duration(20+f.random.IntN(60)) * time.Millisecond
	}
	return time.Duration(40+f.random.IntN(360)) * time.Millisecond
}

// progress begins and ends answers, and crashes engines.
func (f *emulatedFleet) progress() {
	for _, one := range slices.Clone(f.flights) {
		switch {
		case !one.engine.flights[one]:
		case !one.began && one.beginsAt <= f.now:
			if deadly, isDeadly := deadlyPart(one.parts); isDeadly {
				f.crashes[deadly] = append(f.crashes[deadly], f.now)
				f.crash(one.engine)
				continue
			}
			one.began = true
			one.vm.ledger.RecordAnswering(f.service, f.now)
		case one.began && !one.proved && (f.now.Sub(one.beginsAt) >= emulatedProof || one.endsAt <= f.now):
			one.proved = true
			one.vm.ledger.RecordAnswer("assist", one.parts, f.now)
		}
		if one.began && one.endsAt <= f.now {
			delete(one.engine.flights, one)
		}
	}
	f.flights = slices.DeleteFunc(f.flights, func(one *flight) bool { return !one.engine.flights[one] })
}

// restartDuration is how long a crashed engine is away.
const restartDuration = 3 * time.Second

// crash ends an engine. Requests that were not answered yet are sent to another one, once.
func (f *emulatedFleet) crash(engine *emulatedEngine) {
	engine.downTo = f.now.Add(restartDuration)
	engine.boot++
	broken := engine.flights
	engine.flights = map[*flight]bool{}
	for _, one := range slices.Clone(f.flights) {
		if !broken[one] {
			continue
		}
		if !one.proved {
			one.vm.ledger.RecordCrash(f.service, one.instance, one.parts, one.sentAt, f.now)
		}
		if one.attempts < 2 {
			f.ask(one.parts, one.attempts+1, one.vm)
		}
	}
}

// crashAll ends all engines at once.
func (f *emulatedFleet) crashAll() {
	for _, engine := range f.engines {
		engine.downTo = f.now.Add(restartDuration)
	}
	for _, engine := range f.engines {
		f.crash(engine)
	}
}

func (f *emulatedFleet) sendReports() {
	for at, vm := range f.vms {
		if vm.nextReport > f.now {
			continue
		}
		vm.nextReport = vm.nextReport.Add(f.network.Period())
		report := gossip.Report{Address: fmt.Sprint("vm-", at)}
		vm.ledger.FillReport(&report, f.now)
		f.network.Send(at, report, f.now)
	}
}

func (f *emulatedFleet) deliverReports() {
	f.network.Deliver(f.now, func(to int, report gossip.Report) { f.vms[to].ledger.ApplyReport(report, f.now) })
}

// restartVM replaces the state of a random VM if it is time.
func (f *emulatedFleet) restartVM() {
	if f.restartEvery == 0 || f.now%clock.Boot(f.restartEvery) >= clock.Boot(emulatedStep) {
		return
	}
	vm := f.randomVM()
	vm.ledger, vm.started = NewLedger(f.staggers.Float64()), f.now
}

// restartAllVMs replaces the state of all VMs.
func (f *emulatedFleet) restartAllVMs() {
	for _, vm := range f.vms {
		vm.ledger, vm.started = NewLedger(f.staggers.Float64()), f.now
	}
}
