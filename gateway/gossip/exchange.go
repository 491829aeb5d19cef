package gossip

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
	// reportPeriod is the time between two reports.
	reportPeriod = 200 * time.Millisecond
	// largeFleetPeriod replaces reportPeriod in large fleets, where reports are larger.
	largeFleetPeriod = 250 * time.Millisecond
	// startupPeriod is the time between the first startupReports reports of a process:
	// VMs that start together find each other sooner.
	startupPeriod  = 40 * time.Millisecond
	startupReports = 12
	// broadcastLimit is the number of known VMs up to which every report goes to all
	// of them. Fleets with more are large.
	broadcastLimit = 12
	// membersPerReport is the number of members that one report names.
	membersPerReport = 4
	// sameDomainTargets and otherDomainTargets are the numbers of VMs in this VM's
	// failure domain and in other ones that get a report in large fleets.
	sameDomainTargets  = 3
	otherDomainTargets = 1
	// relayedHeartbeats is the number of heartbeats that a report relays in a large
	// fleet.
	relayedHeartbeats = 24
	// membershipReplyHeartbeats is the number of heartbeats in the reply to a VM that
	// knows few others: one that has just started knows only the seeds.
	membershipReplyHeartbeats = 60
	// membershipReplyQueue bounds the queued replies.
	membershipReplyQueue = 64
	// maxDatagramBytes is the largest payload of a UDP datagram over IPv4.
	maxDatagramBytes = 65507
)

// datagramWriter sends one datagram, as net.UDPConn does.
type datagramWriter interface {
	WriteToUDPAddrPort(raw []byte, to netip.AddrPort) (int, error)
}

// Exchange sends this VM's reports and receives those of others.
type Exchange struct {
	table *Table
	// port is the UDP port of all VMs of the fleet.
	port   uint16
	conn   *net.UDPConn
	writer datagramWriter
	// fillReport adds the state of this VM to a report.
	fillReport func(*Report)
	// onReport is called with each report that is newer than the last one of its sender.
	onReport func(Report, clock.Boot)
	// onLost is called with the address of each VM that is no longer heard of.
	onLost func(string)

	// membershipReplies are the addresses that get a reply with many heartbeats.
	membershipReplies chan string
	// Only Send uses encoder, sequence and random, only Receive uses decoder.
	encoder *encoder
	decoder *decoder
	// identity is the report that each report starts as a copy of.
	identity Report
	// sequence is the Sequence of the last report.
	sequence int64
	random   *rand.Rand
}

// ExchangeOptions configure an Exchange. All fields are required for Send; Receive needs
// Table, Conn, Identity and OnReport.
type ExchangeOptions struct {
	Table *Table
	// Conn sends and receives the datagrams. All VMs of a fleet must use its port.
	Conn *net.UDPConn
	// Identity has the address, the failure domain and the incarnation of this VM. Each
	// report starts as a copy of it.
	Identity Report
	// FillReport adds the state of this VM to a report before it is sent.
	FillReport func(*Report)
	// OnReport is called with each report that is newer than the last one of its sender,
	// and with the time at which it was received.
	OnReport func(Report, clock.Boot)
	// OnLost is called with the address of each VM that is no longer heard of.
	OnLost func(string)
}

// NewExchange returns an Exchange. The caller runs Send and Receive, each in a goroutine
// of its own.
func NewExchange(options ExchangeOptions) *Exchange {
	seed := uint64(options.Identity.Incarnation)
	return &Exchange{
		table:             options.Table,
		port:              options.Conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(),
		conn:              options.Conn,
		writer:            options.Conn,
		fillReport:        options.FillReport,
		onReport:          options.OnReport,
		onLost:            options.OnLost,
		membershipReplies: make(chan string, membershipReplyQueue),
		encoder:           newEncoder(),
		decoder:           newDecoder(),
		identity:          options.Identity,
		random:            rand.New(rand.NewPCG(seed, uint64(len(options.Identity.Address)))),
	}
}

// Send sends reports until ctx ends, and a last one then.
func (e *Exchange) Send(ctx context.Context) {
	timer := time.NewTimer(startupPeriod)
	defer timer.Stop()
	for {
		now := clock.Now()
		for _, address := range e.table.UpdateLiveness(now) {
			e.onLost(address)
		}
		e.sendReport(now)
		timer.Reset(e.nextInterval())
		if !e.replyUntil(ctx, timer.C) {
			e.sendReport(clock.Now())
			return
		}
	}
}

// replyUntil sends queued membership replies until due fires. It returns false once ctx
// has ended.
func (e *Exchange) replyUntil(ctx context.Context, due <-chan time.Time) bool {
	for {
		select {
		case <-due:
			return true
		case <-ctx.Done():
			return false
		case address := <-e.membershipReplies:
			e.sendMembership(address, clock.Now())
		}
	}
}

// sendMembership sends one VM the heartbeats of many others.
func (e *Exchange) sendMembership(address string, now clock.Boot) {
	report := e.identity
	report.MembershipOnly = true
	report.Heartbeats = e.table.SampleHeartbeats(report.FailureDomain, membershipReplyHeartbeats, e.random, now)
	e.sendDatagram(address, e.encoder.encode(&report))
}

// nextInterval returns the time until the next report.
func (e *Exchange) nextInterval() time.Duration {
	if e.sequence < startupReports {
		return startupPeriod
	}
	if e.table.LargeFleet() {
		return largeFleetPeriod
	}
	return reportPeriod
}

// sendReport sends the next report to at most broadcastLimit VMs.
func (e *Exchange) sendReport(now clock.Boot) {
	report := e.identity
	e.sequence++
	report.Sequence = e.sequence
	report.KnownVMs = e.table.KnownVMs()
	targets := e.selectTargets(&report, now)
	e.fillReport(&report)
	raw := e.encoder.encode(&report)
	for _, address := range targets[:min(broadcastLimit, len(targets))] {
		e.sendDatagram(address, raw)
	}
}

// selectTargets sets the fields on other VMs of a report and returns the addresses that it
// is sent to. In a large fleet most of them are in this VM's failure domain, as traffic
// between failure domains is expensive.
func (e *Exchange) selectTargets(report *Report, now clock.Boot) (targets []string) {
	if e.table.LargeFleet() {
		report.Heartbeats = e.table.SampleHeartbeats(report.FailureDomain, relayedHeartbeats, e.random, now)
		return e.table.SampleTargets(report.FailureDomain, sameDomainTargets, otherDomainTargets, e.random)
	}
	targets = e.table.Targets()
	e.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	report.Members = targets[:min(membersPerReport, len(targets))]
	return targets
}

// sendDatagram sends one datagram. An error is only logged: it costs no more than a lost
// datagram, and the next report follows soon.
func (e *Exchange) sendDatagram(address string, raw []byte) {
	ip, err := netip.ParseAddr(address)
	if err != nil {
		klog.V(1).InfoS("member: invalid address of a peer", "peer", address)
		return
	}
	if _, err := e.writer.WriteToUDPAddrPort(raw, netip.AddrPortFrom(ip, e.port)); err != nil {
		klog.V(1).InfoS("member: sending a report failed", "peer", address, "reason", err.Error())
	}
}

// queueMembershipReply queues a reply to the sender of a report if this VM knows many more
// VMs. It drops the reply if the queue is full.
func (e *Exchange) queueMembershipReply(report Report) {
	if !e.table.hasLargerView(report) {
		return
	}
	select {
	case e.membershipReplies <- report.Address:
	default:
	}
}

// Close closes the connection, which ends Receive.
func (e *Exchange) Close() {
	if err := e.conn.Close(); err != nil {
		klog.V(1).InfoS("member: closing the connection failed", "reason", err.Error())
	}
}

// Receive handles the reports of other VMs until the connection is closed, or until the
// first datagram or error after ctx has ended.
func (e *Exchange) Receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.V(1).InfoS("member: receiving a report failed", "reason", err.Error())
			continue
		}
		e.handleDatagram(buffer[:size], from, clock.Now())
	}
}

// handleDatagram applies one datagram. It ignores one whose address is not that of its
// sender.
func (e *Exchange) handleDatagram(raw []byte, from netip.AddrPort, now clock.Boot) {
	report, err := e.decoder.decode(raw)
	if err != nil {
		klog.V(1).InfoS("member: ignored a malformed report", "reason", err.Error())
		return
	}
	if from.Port() != e.port || from.Addr().Unmap().String() != report.Address {
		klog.V(1).InfoS("member: ignored a report that names another VM than its sender", "from", from.String(), "peer", report.Address)
		return
	}
	if e.table.Receive(report, now) {
		e.onReport(report, now)
		e.queueMembershipReply(report)
	}
}
