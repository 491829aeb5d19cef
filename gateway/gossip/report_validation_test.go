package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestReportsNamingOtherSenderAreIgnored sends reports from another address or port than the
// one that they name, malformed ones, and a valid one: only the valid one is applied.
func TestReportsNamingOtherSenderAreIgnored(t *testing.T) {
	network := fleettest.ReserveNetwork(t)
	const port = 7010
	open := func(host, port int) *net.UDPConn {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(fmt.Sprintf("%s.0.%d", network, host)), Port: port})
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	address := func(host int) string { return fmt.Sprintf("%s.0.%d", network, host) }
	received := make(chan Report, 10)
	exchange := NewExchange(ExchangeOptions{
		Table: NewTable(address(1), nil), Conn: open(1, port), Identity: Report{Address: address(1), Incarnation: 1},
		OnReport: func(report Report, _ clock.Boot) { received <- report },
	})
	done := make(chan struct{})
	go func() {
		exchange.Receive(context.Background())
		close(done)
	}()
	sender, forger, otherPort := open(2, port), open(3, port), open(2, port+1)
	send := func(from *net.UDPConn, raw []byte) {
		if _, err := from.WriteTo(raw, exchange.conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	forged := newEncoder().encode(&Report{Address: address(2), Incarnation: 9, Sequence: 9, Newest: traffic.Position{Revision: 99}})
	send(forger, forged)
	send(otherPort, forged)
	send(sender, []byte(`{"a":"x"}`))
	send(sender, forged[:len(forged)-3])
	send(sender, newEncoder().encode(&Report{Address: address(2), Incarnation: 1, Sequence: 1}))
	if got := <-received; got.Incarnation != 1 || len(received) > 0 {
		t.Errorf("%+v was accepted", got)
	}
	exchange.Close()
	<-done
	for _, conn := range []*net.UDPConn{sender, forger, otherPort} {
		conn.Close()
	}
}

// TestMembershipReplyFromUnknownVMIsIgnored checks that membership replies are accepted only
// from VMs that reports are sent to.
func TestMembershipReplyFromUnknownVMIsIgnored(t *testing.T) {
	table := NewTable("10.0.0.1", []string{"10.0.0.2"})
	reply := func(sender, relayed string) Report {
		return Report{Address: sender, MembershipOnly: true, Heartbeats: []Heartbeat{{Address: relayed, Incarnation: 5}}}
	}
	table.Receive(reply("10.0.0.3", "10.0.0.8"), testStart)
	table.Receive(reply("10.0.0.2", "10.0.0.9"), testStart)
	if alive := table.Alive(testStart); len(alive) != 1 || alive[0].Report.Address != "10.0.0.9" {
		t.Errorf("alive are %+v", alive)
	}
}

// TestOwnReportOverridesRelayedHeartbeat relays a heartbeat of a later incarnation of a VM:
// the VM's own next report, with its lower incarnation, must still be accepted.
func TestOwnReportOverridesRelayedHeartbeat(t *testing.T) {
	table := NewTable("a", nil)
	table.Receive(Report{Address: "b", Incarnation: 5, Sequence: 1, Newest: traffic.Position{Revision: 7}}, testStart)
	forged := Report{Address: "c", Incarnation: 1, Sequence: 1, Heartbeats: []Heartbeat{{Address: "b", Incarnation: 1 << 60}}}
	table.Receive(forged, testStart.Add(time.Millisecond))
	if !table.Receive(Report{Address: "b", Incarnation: 5, Sequence: 2, Newest: traffic.Position{Revision: 8}}, testStart.Add(2*time.Millisecond)) {
		t.Error("the VM's own report was ignored")
	}
}

// TestReportsOutOfBounds decodes reports with values out of range.
func TestReportsOutOfBounds(t *testing.T) {
	for name, report := range map[string]Report{
		"negative number":      {Sequence: -1},
		"negative revision":    {Newest: traffic.Position{Revision: -1}},
		"negative era":         {Newest: traffic.Position{Era: -1}},
		"negative age":         {AgeMS: -2},
		"negative work":        {Work: []EndpointWork{{Endpoint: "e", Requests: -1}}},
		"too much work":        {Work: []EndpointWork{{Endpoint: "e", Requests: maxRequests + 1}}},
		"negative tokens":      {Work: []EndpointWork{{Endpoint: "e", PrefillTokens: -1}}},
		"negative load":        {EndpointLoads: []EndpointLoad{{Endpoint: "e", Requests: -1}}},
		"load in future":       {EndpointLoads: []EndpointLoad{{Endpoint: "e", AgeMS: -1}}},
		"heard in future":      {Heartbeats: []Heartbeat{{Address: "b", AgeMS: -1}}},
		"too many faults":      {Outcomes: []EndpointOutcomes{{Endpoint: "e", Failed: maxRequests + 1}}},
		"negative faults":      {Outcomes: []EndpointOutcomes{{Endpoint: "e", Failed: -1}}},
		"negative slowness":    {Outcomes: []EndpointOutcomes{{Endpoint: "e", SlownessPercent: -1}}},
		"too slow":             {Outcomes: []EndpointOutcomes{{Endpoint: "e", SlownessPercent: maxSlownessPercent + 1}}},
		"too many successes":   {Outcomes: []EndpointOutcomes{{Endpoint: "e", Good: maxRequests + 1}}},
		"negative contention":  {Contentions: []EndpointContention{{Endpoint: "e", Percent: -1}}},
		"huge contention":      {Contentions: []EndpointContention{{Endpoint: "e", Percent: maxContentionPercent + 1}}},
		"contention in future": {Contentions: []EndpointContention{{Endpoint: "e", AgeMS: -1}}},
		"old contention":       {Contentions: []EndpointContention{{Endpoint: "e", AgeMS: maxContentionAgeMS + 1}}},
		"too many contentions": {Contentions: make([]EndpointContention, MaxContentions+1)},
		"too many members":     {Members: make([]string, maxMembers+1)},
		"too many heartbeats":  {Heartbeats: make([]Heartbeat, maxHeartbeats+1)},
	} {
		if _, err := newDecoder().decode(newEncoder().encode(&report)); err == nil {
			t.Errorf("%s: the report was accepted", name)
		}
	}
}

// fullTable returns a Table with count members in five failure domains.
func fullTable(count int) *Table {
	table := NewTable("10.0.0.1", nil)
	for i := range count {
		table.Receive(Report{Address: fmt.Sprintf("10.1.%d.%d", i/200, i%200), Incarnation: 1, Sequence: 1, FailureDomain: fmt.Sprint(i % 5)}, testStart)
	}
	return table
}

// TestLargeFleetsCostNoAllocation checks, in fleets of 30, 300 and 1,000 VMs, that visiting
// the members allocates nothing and that the allocations for a report don't grow with the
// fleet.
func TestLargeFleetsCostNoAllocation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{30, 300, 1000} {
		table := fullTable(count)
		table.UpdateLiveness(testStart)
		alive := 0
		visits := testing.AllocsPerRun(100, func() {
			alive = 0
			table.ForEachAlive(testStart, func(*Member) { alive++ })
			table.CountAlive(testStart)
			table.UpdateLiveness(testStart)
		})
		if visits != 0 || alive != count {
			t.Errorf("%d VMs: %v allocations to visit %d members", count, visits, alive)
		}
		report := testing.AllocsPerRun(100, func() {
			table.SampleHeartbeats("1", relayedHeartbeats, random, testStart)
			table.SampleTargets("1", sameDomainTargets, otherDomainTargets, random)
		})
		if report > 6 {
			t.Errorf("%d VMs: %v allocations for a report", count, report)
		}
	}
}

func BenchmarkMembers(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{30, 300, 1000} {
		table := fullTable(count)
		b.Run(fmt.Sprintf("each-%d", count), func(b *testing.B) {
			for b.Loop() {
				table.ForEachAlive(testStart, func(*Member) {})
			}
		})
		b.Run(fmt.Sprintf("report-%d", count), func(b *testing.B) {
			for b.Loop() {
				table.UpdateLiveness(testStart)
				table.SampleHeartbeats("1", relayedHeartbeats, random, testStart)
				table.SampleTargets("1", sameDomainTargets, otherDomainTargets, random)
			}
		})
	}
}
