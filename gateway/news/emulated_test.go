package news

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// emulatedPort is the port of all emulated VMs.
const emulatedPort = 7010

// emulatedSeeds is the number of seeds.
const emulatedSeeds = 3

// emulatedStep is the step of virtual time.
const emulatedStep = 10 * time.Millisecond

// emulatedFleet plays the reports of many VMs in virtual time, with the product's own
// tables, messages and choice of addressees. A datagram arrives in the next step.
type emulatedFleet struct {
	now     clock.Boot
	vms     []*emulatedVM
	at      map[netip.Addr]*emulatedVM
	on, off []emulatedDatagram
}

// emulatedVM is one VM of an emulatedFleet.
type emulatedVM struct {
	fleet    *emulatedFleet
	address  netip.Addr
	started  clock.Boot
	due      clock.Boot
	table    *Table
	exchange *Exchange
	// learned is what the VM tells of itself.
	learned bool
}

type emulatedDatagram struct {
	from, to netip.Addr
	raw      []byte
}

// newEmulatedFleet returns count VMs in five failure domains, each of which starts at a
// time of its own within spread. The first three are the seeds and start later by lag.
func newEmulatedFleet(count int, spread, lag time.Duration, random *rand.Rand) *emulatedFleet {
	f := &emulatedFleet{now: clock.Boot(time.Hour), at: map[netip.Addr]*emulatedVM{}}
	for i := range count {
		vm := &emulatedVM{
			fleet:   f,
			address: netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}),
			started: f.now.Add(time.Duration(random.Int64N(int64(spread)))),
		}
		if i < emulatedSeeds {
			vm.started = vm.started.Add(lag)
		}
		vm.due = vm.started
		f.vms = append(f.vms, vm)
		f.at[vm.address] = vm
	}
	var seeds []string
	for _, vm := range f.vms[:emulatedSeeds] {
		seeds = append(seeds, vm.address.String())
	}
	for i, vm := range f.vms {
		vm.start(seeds, fmt.Sprintf("domain-%d", i%5), random)
	}
	return f
}

func (v *emulatedVM) start(seeds []string, domain string, random *rand.Rand) {
	v.table = NewTable(v.address.String(), seeds)
	v.exchange = &Exchange{
		table:     v.table,
		port:      emulatedPort,
		out:       v,
		fill:      func(report *Report) { report.HasPartLocations = v.learned },
		received:  func(Report, clock.Boot) {},
		lost:      func(string) {},
		greetings: make(chan string, greetingQueue),
		packer:    newEncoder(),
		unpacker:  newDecoder(),
		identity:  Report{Address: v.address.String(), Incarnation: 1, FailureDomain: domain},
		random:    random,
	}
}

// WriteToUDPAddrPort implements datagramWriter.
func (v *emulatedVM) WriteToUDPAddrPort(raw []byte, to netip.AddrPort) (int, error) {
	v.fleet.off = append(v.fleet.off, emulatedDatagram{v.address, to.Addr(), append([]byte(nil), raw...)})
	return len(raw), nil
}

// step plays the next step of virtual time.
func (f *emulatedFleet) step() {
	f.now = f.now.Add(emulatedStep)
	f.on, f.off = f.off, f.on[:0]
	for _, datagram := range f.on {
		to, ok := f.at[datagram.to]
		if ok && to.runs() {
			to.exchange.take(datagram.raw, netip.AddrPortFrom(datagram.from, emulatedPort), f.now)
		}
	}
	for _, vm := range f.vms {
		if vm.runs() {
			vm.send()
		}
	}
}

func (v *emulatedVM) runs() bool { return v.started <= v.fleet.now }

// send sends what is due.
func (v *emulatedVM) send() {
	for len(v.exchange.greetings) > 0 {
		v.exchange.greet(<-v.exchange.greetings, v.fleet.now)
	}
	if v.due <= v.fleet.now {
		v.exchange.report(v.fleet.now)
		v.due = v.due.Add(v.exchange.pause())
	}
}
