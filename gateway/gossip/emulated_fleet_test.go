package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// emulatedPort is the UDP port of all emulated VMs.
const emulatedPort = 7010

// emulatedSeeds is the number of seeds: the first VMs of the fleet.
const emulatedSeeds = 3

// emulatedStep is the resolution of virtual time.
const emulatedStep = 10 * time.Millisecond

// emulatedFleet runs the Tables and Exchanges of many VMs in virtual time, without a
// network: a datagram arrives one step after it was sent.
type emulatedFleet struct {
	now            clock.Boot
	vms            []*emulatedVM
	vmByAddress    map[netip.Addr]*emulatedVM
	arriving, sent []emulatedDatagram
}

// emulatedVM is one VM of an emulatedFleet.
type emulatedVM struct {
	fleet      *emulatedFleet
	address    netip.Addr
	started    clock.Boot
	nextReport clock.Boot
	table      *Table
	exchange   *Exchange
	// hasPartLocations is what the VM's reports say.
	hasPartLocations bool
}

type emulatedDatagram struct {
	from, to netip.Addr
	raw      []byte
}

// newEmulatedFleet returns a fleet of count VMs in five failure domains. Each VM starts at a
// random time within spread; the seeds start later by lag.
func newEmulatedFleet(count int, spread, lag time.Duration, random *rand.Rand) *emulatedFleet {
	f := &emulatedFleet{now: clock.Boot(time.Hour), vmByAddress: map[netip.Addr]*emulatedVM{}}
	for i := range count {
		vm := &emulatedVM{
			fleet:   f,
			address: netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}),
			started: f.now.Add(time.Duration(random.Int64N(int64(spread)))),
		}
		if i < emulatedSeeds {
			vm.started = vm.started.Add(lag)
		}
		vm.nextReport = vm.started
		f.vms = append(f.vms, vm)
		f.vmByAddress[vm.address] = vm
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
		table:             v.table,
		port:              emulatedPort,
		writer:            v,
		fillReport:        func(report *Report) { report.HasPartLocations = v.hasPartLocations },
		onReport:          func(Report, clock.Boot) {},
		onLost:            func(string) {},
		membershipReplies: make(chan string, membershipReplyQueue),
		encoder:           newEncoder(),
		decoder:           newDecoder(),
		identity:          Report{Address: v.address.String(), Incarnation: 1, FailureDomain: domain},
		random:            random,
	}
}

// WriteToUDPAddrPort implements datagramWriter.
func (v *emulatedVM) WriteToUDPAddrPort(raw []byte, to netip.AddrPort) (int, error) {
	v.fleet.sent = append(v.fleet.sent, emulatedDatagram{v.address, to.Addr(), append([]byte(nil), raw...)})
	return len(raw), nil
}

// step advances virtual time by emulatedStep: it delivers datagrams, then sends what is due.
func (f *emulatedFleet) step() {
	f.now = f.now.Add(emulatedStep)
	f.arriving, f.sent = f.sent, f.arriving[:0]
	for _, datagram := range f.arriving {
		to, ok := f.vmByAddress[datagram.to]
		if ok && to.running() {
			to.exchange.handleDatagram(datagram.raw, netip.AddrPortFrom(datagram.from, emulatedPort), f.now)
		}
	}
	for _, vm := range f.vms {
		if vm.running() {
			vm.sendDue()
		}
	}
}

func (v *emulatedVM) running() bool { return v.started <= v.fleet.now }

// sendDue sends queued membership replies, and the next report if it is due.
func (v *emulatedVM) sendDue() {
	for len(v.exchange.membershipReplies) > 0 {
		v.exchange.sendMembership(<-v.exchange.membershipReplies, v.fleet.now)
	}
	if v.nextReport <= v.fleet.now {
		v.exchange.sendReport(v.fleet.now)
		v.nextReport = v.nextReport.Add(v.exchange.nextInterval())
	}
}
