package news

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// TestReportsOfOtherSendersAreLeftOut sends reports that name another VM than their sender,
// garbled ones, and a sound one: only the sound one is taken in.
func TestReportsOfOtherSendersAreLeftOut(t *testing.T) {
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
	taken := make(chan Report, 10)
	exchange := NewExchange(ExchangeOptions{
		Table: NewTable(address(1), nil), Conn: open(1, port), Identity: Report{Address: address(1), Incarnation: 1},
		OnReport: func(report Report, _ clock.Boot) { taken <- report },
	})
	done := make(chan struct{})
	go func() {
		exchange.Receive(context.Background())
		close(done)
	}()
	sound, stranger, otherPort := open(2, port), open(3, port), open(2, port+1)
	send := func(from *net.UDPConn, raw []byte) {
		if _, err := from.WriteTo(raw, exchange.conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	forged := newEncoder().encode(&Report{Address: address(2), Incarnation: 9, Sequence: 9, NewestRevision: 99})
	send(stranger, forged)
	send(otherPort, forged)
	send(sound, []byte(`{"a":"x"}`))
	send(sound, forged[:len(forged)-3])
	send(sound, newEncoder().encode(&Report{Address: address(2), Incarnation: 1, Sequence: 1}))
	if got := <-taken; got.Incarnation != 1 || len(taken) > 0 {
		t.Errorf("%+v was taken in", got)
	}
	exchange.Close()
	<-done
	for _, conn := range []*net.UDPConn{sound, stranger, otherPort} {
		conn.Close()
	}
}

// TestGreetingOfAStranger takes in greetings: only a VM that was written to may send one.
func TestGreetingOfAStranger(t *testing.T) {
	table := NewTable("10.0.0.1", []string{"10.0.0.2"})
	greeting := func(sender, tells string) Report {
		return Report{Address: sender, MembershipOnly: true, Heartbeats: []Heartbeat{{Address: tells, Incarnation: 5}}}
	}
	table.Receive(greeting("10.0.0.3", "10.0.0.8"), testStart)
	table.Receive(greeting("10.0.0.2", "10.0.0.9"), testStart)
	if alive := table.Alive(testStart); len(alive) != 1 || alive[0].Report.Address != "10.0.0.9" {
		t.Errorf("alive are %+v", alive)
	}
}

// TestOwnWordGoesFirst lets others tell of a later incarnation of a VM: its own next report
// is taken in all the same.
func TestOwnWordGoesFirst(t *testing.T) {
	table := NewTable("a", nil)
	table.Receive(Report{Address: "b", Incarnation: 5, Sequence: 1, NewestRevision: 7}, testStart)
	forged := Report{Address: "c", Incarnation: 1, Sequence: 1, Heartbeats: []Heartbeat{{Address: "b", Incarnation: 1 << 60}}}
	table.Receive(forged, testStart.Add(time.Millisecond))
	if !table.Receive(Report{Address: "b", Incarnation: 5, Sequence: 2, NewestRevision: 8}, testStart.Add(2*time.Millisecond)) {
		t.Error("the VM's own report was left out")
	}
}

// TestReportsOutOfBounds packs reports with values that no VM tells.
func TestReportsOutOfBounds(t *testing.T) {
	for name, report := range map[string]Report{
		"negative number":   {Sequence: -1},
		"negative revision": {NewestRevision: -1},
		"negative age":      {AgeMS: -2},
		"negative work":     {Work: []EndpointWork{{Endpoint: "e", Requests: -1}}},
		"too much work":     {Work: []EndpointWork{{Endpoint: "e", Requests: mostRequests + 1}}},
		"negative tokens":   {Work: []EndpointWork{{Endpoint: "e", PrefillTokens: -1}}},
		"negative load":     {EndpointLoads: []EndpointLoad{{Endpoint: "e", Requests: -1}}},
		"load in future":    {EndpointLoads: []EndpointLoad{{Endpoint: "e", AgeMS: -1}}},
		"heard in future":   {Heartbeats: []Heartbeat{{Address: "b", AgeMS: -1}}},
		"too many faults":   {FailureRates: []FailureRate{{Endpoint: "e", Percent: 101}}},
		"too many members":  {Members: make([]string, mostMembers+1)},
		"too many pulses":   {Heartbeats: make([]Heartbeat, mostPulses+1)},
	} {
		if _, err := newDecoder().decode(newEncoder().encode(&report)); err == nil {
			t.Errorf("%s: the report was taken", name)
		}
	}
}

// fullTable returns a Table of a fleet of the given size in five failure domains.
func fullTable(count int) *Table {
	table := NewTable("10.0.0.1", nil)
	for i := range count {
		table.Receive(Report{Address: fmt.Sprintf("10.1.%d.%d", i/200, i%200), Incarnation: 1, Sequence: 1, FailureDomain: fmt.Sprint(i % 5)}, testStart)
	}
	return table
}

// TestLargeFleetsCostNoAllocation bounds what a look at the members and the choice of a
// report's targets allocate, in fleets of 30, 300 and 1,000 VMs.
func TestLargeFleetsCostNoAllocation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, count := range []int{30, 300, 1000} {
		table := fullTable(count)
		table.UpdateLiveness(testStart)
		alive := 0
		looks := testing.AllocsPerRun(100, func() {
			alive = 0
			table.ForEachAlive(testStart, func(*Member) { alive++ })
			table.CountAlive(testStart)
			table.UpdateLiveness(testStart)
		})
		if looks != 0 || alive != count {
			t.Errorf("%d VMs: %v allocations for a look at %d members", count, looks, alive)
		}
		report := testing.AllocsPerRun(100, func() {
			table.SampleHeartbeats("1", relayedPulses, random, testStart)
			table.SampleTargets("1", nearTargets, farTargets, random)
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
				table.SampleHeartbeats("1", relayedPulses, random, testStart)
				table.SampleTargets("1", nearTargets, farTargets, random)
			}
		})
	}
}
