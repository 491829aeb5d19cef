package news

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// period is the time between two reports.
	period = 200 * time.Millisecond
	// largePeriod is the same in large fleets, where reports are larger.
	largePeriod = 250 * time.Millisecond
	// startPeriod is the same for the first startReports of a process, so that
	// VMs that start together find each other soon.
	startPeriod  = 40 * time.Millisecond
	startReports = 12
	// sendAll is the number of VMs up to which each one gets every report.
	sendAll = 12
	// namedMembers is how many members one report names.
	namedMembers = 4
	// nearTargets and farTargets are the numbers of VMs in the own and in other
	// failure domains that get a report in large fleets.
	nearTargets = 3
	farTargets  = 1
	// relayedPulses is the number of VMs that a report in a large fleet tells of.
	relayedPulses = 24
	// greetingPulses is the number of VMs of which a VM is told at once that knows
	// few: one that has started knows the seeds only.
	greetingPulses = 60
	// greetingQueue bounds the answers that wait.
	greetingQueue = 64
	// maxDatagram is the size of the largest datagram of UDP, in bytes.
	maxDatagram = 65507
)

// datagramWriter sends one datagram, as net.UDPConn does.
type datagramWriter interface {
	WriteToUDPAddrPort(raw []byte, to netip.AddrPort) (int, error)
}

// Exchange sends this VM's reports and receives those of others.
type Exchange struct {
	table *Table
	port  uint16
	conn  *net.UDPConn
	out   datagramWriter
	// fill adds what is to be told to a report.
	fill func(*Report)
	// received is called with each newer report.
	received func(Report, clock.Boot)
	// lost is called with the address of each VM that fell silent.
	lost func(string)

	// greetings are the VMs that get a report of their own.
	greetings chan string
	packer    *encoder
	unpacker  *decoder
	identity  Report
	number    int64
	random    *rand.Rand
}

// ExchangeOptions are the parts that an Exchange connects.
type ExchangeOptions struct {
	Table *Table
	// Conn receives and sends the datagrams; all VMs use its port.
	Conn *net.UDPConn
	// Identity has the address, the failure domain and the incarnation.
	Identity   Report
	FillReport func(*Report)
	OnReport   func(Report, clock.Boot)
	OnLost     func(string)
}

// NewExchange returns an Exchange that does not run yet.
func NewExchange(options ExchangeOptions) *Exchange {
	seed := uint64(options.Identity.Incarnation)
	return &Exchange{
		table:     options.Table,
		port:      options.Conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
		conn:      options.Conn,
		out:       options.Conn,
		fill:      options.FillReport,
		received:  options.OnReport,
		lost:      options.OnLost,
		greetings: make(chan string, greetingQueue),
		packer:    newEncoder(),
		unpacker:  newDecoder(),
		identity:  options.Identity,
		random:    rand.New(rand.NewPCG(seed, uint64(len(options.Identity.Address)))),
	}
}

// Send sends reports until ctx ends.
func (e *Exchange) Send(ctx context.Context) {
	timer := time.NewTimer(startPeriod)
	defer timer.Stop()
	for {
		now := clock.Now()
		for _, address := range e.table.UpdateLiveness(now) {
			e.lost(address)
		}
		e.report(now)
		timer.Reset(e.pause())
		if !e.greetUntil(ctx, timer.C) {
			e.report(clock.Now())
			return
		}
	}
}

// greetUntil answers VMs that have just started until the next report is due; it
// returns false when ctx has ended.
func (e *Exchange) greetUntil(ctx context.Context, due <-chan time.Time) bool {
	for {
		select {
		case <-due:
			return true
		case <-ctx.Done():
			return false
		case address := <-e.greetings:
			e.greet(address, clock.Now())
		}
	}
}

// greet sends one VM a report that tells of many others.
func (e *Exchange) greet(address string, now clock.Boot) {
	report := e.identity
	report.MembershipOnly = true
	report.Heartbeats = e.table.SampleHeartbeats(report.FailureDomain, greetingPulses, e.random, now)
	e.sendTo(address, e.packer.encode(&report))
}

// pause is the time to the next report.
func (e *Exchange) pause() time.Duration {
	if e.number < startReports {
		return startPeriod
	}
	if e.table.LargeFleet() {
		return largePeriod
	}
	return period
}

func (e *Exchange) report(now clock.Boot) {
	report := e.identity
	e.number++
	report.Sequence = e.number
	report.KnownVMs = e.table.KnownVMs()
	targets := e.addressees(&report, now)
	e.fill(&report)
	raw := e.packer.encode(&report)
	for _, address := range targets[:min(sendAll, len(targets))] {
		e.sendTo(address, raw)
	}
}

// addressees sets what the report tells of other VMs and returns who gets it. In a large
// fleet these are more of the own failure domain, as bytes between domains are dear.
func (e *Exchange) addressees(report *Report, now clock.Boot) (targets []string) {
	if e.table.LargeFleet() {
		report.Heartbeats = e.table.SampleHeartbeats(report.FailureDomain, relayedPulses, e.random, now)
		return e.table.SampleTargets(report.FailureDomain, nearTargets, farTargets, e.random)
	}
	targets = e.table.Targets()
	e.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	report.Members = targets[:min(namedMembers, len(targets))]
	return targets
}

// sendTo sends one datagram. A loss is as good as an error: the next report
// comes soon.
func (e *Exchange) sendTo(address string, raw []byte) {
	ip, err := netip.ParseAddr(address)
	if err != nil {
		klog.V(1).InfoS("member: an address is not valid", "peer", address)
		return
	}
	if _, err := e.out.WriteToUDPAddrPort(raw, netip.AddrPortFrom(ip, e.port)); err != nil {
		klog.V(1).InfoS("member: a report was not sent", "peer", address, "reason", err.Error())
	}
}

// answer lets the sender of a report be greeted if this VM knows many more others, unless
// too many wait.
func (e *Exchange) answer(report Report) {
	if !e.table.knowsMore(report) {
		return
	}
	select {
	case e.greetings <- report.Address:
	default:
	}
}

// Close closes the connection.
func (e *Exchange) Close() {
	if err := e.conn.Close(); err != nil {
		klog.V(1).InfoS("member: the connection was not closed", "reason", err.Error())
	}
}

// Receive takes in reports until the connection is closed.
func (e *Exchange) Receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.V(1).InfoS("member: a report was not received", "reason", err.Error())
			continue
		}
		e.take(buffer[:size], from, clock.Now())
	}
}

// take takes in one datagram.
func (e *Exchange) take(raw []byte, from netip.AddrPort, now clock.Boot) {
	report, err := e.unpacker.decode(raw)
	if err != nil {
		klog.V(1).InfoS("member: a report can't be read", "reason", err.Error())
		return
	}
	if from.Port() != e.port || from.Addr().Unmap().String() != report.Address {
		klog.V(1).InfoS("member: a report is not from the VM that it names", "from", from.String(), "peer", report.Address)
		return
	}
	if e.table.Receive(report, now) {
		e.received(report, now)
		e.answer(report)
	}
}
